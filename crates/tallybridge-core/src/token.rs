//! Opaque token that links a nested call to the attempt that makes it.

use std::{fmt, str::FromStr};

use crate::identity::{AttemptId, InstanceId};

/// Identifies the running attempt on whose behalf a back end makes a nested call.
///
/// Only the node beside the back end issues and reads the token. That node keeps the record of the
/// attempt, such as its deadline, criticality and remaining retry allowance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct CallToken(pub AttemptId);

impl fmt::Display for CallToken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// Error for a text that is not a valid call token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("invalid call token: expected 16 hexadecimal digits, a dash and a hexadecimal number")]
pub struct InvalidCallToken;

impl FromStr for CallToken {
    type Err = InvalidCallToken;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (instance, sequence) = text.split_once('-').ok_or(InvalidCallToken)?;
        Ok(Self(AttemptId {
            instance: InstanceId(parse_hexadecimal(instance)?),
            sequence: parse_hexadecimal(sequence)?,
        }))
    }
}

fn parse_hexadecimal(text: &str) -> Result<u64, InvalidCallToken> {
    const RADIX: u32 = 16;
    u64::from_str_radix(text, RADIX).map_err(|_| InvalidCallToken)
}
