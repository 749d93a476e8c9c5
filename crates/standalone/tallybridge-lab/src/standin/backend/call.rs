//! Which request a call belongs to and where in the chain it stands.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Place of a call: the lab's own number of the root request and the position in its call graph.
///
/// It travels in the call's path (`/{endpoint}/{request}/{position}`), so what back ends record
/// doesn't depend on what nodes say. The root's position is `0`; the second nested call of
/// position P is `P.1`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallPlace {
    /// Endpoint, the first path segment.
    pub endpoint: String,
    /// Number of the root request within the run.
    pub request: u64,
    /// Position in the call graph.
    pub position: String,
}

/// The path isn't that of a call of the lab.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("expected /endpoint/request/position, given {0}")]
pub struct InvalidPlace(pub String);

impl CallPlace {
    /// Position of every root call.
    pub const ROOT: &'static str = "0";

    /// The place of a root call.
    #[must_use]
    pub fn root(endpoint: &str, request: u64) -> Self {
        Self {
            endpoint: endpoint.to_owned(),
            request,
            position: Self::ROOT.to_owned(),
        }
    }

    /// The place of the nested call of a number, counted from 0.
    #[must_use]
    pub fn nested(&self, endpoint: &str, number: usize) -> Self {
        Self {
            endpoint: endpoint.to_owned(),
            request: self.request,
            position: format!("{}.{number}", self.position),
        }
    }
}

impl fmt::Display for CallPlace {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}/{}/{}",
            self.endpoint, self.request, self.position
        )
    }
}

impl FromStr for CallPlace {
    type Err = InvalidPlace;

    fn from_str(path: &str) -> Result<Self, Self::Err> {
        let mut segments = path.trim_start_matches('/').split('/');
        let invalid = || InvalidPlace(path.to_owned());
        let (Some(endpoint), Some(request), Some(position), None) = (
            segments.next(),
            segments.next(),
            segments.next(),
            segments.next(),
        ) else {
            return Err(invalid());
        };
        Ok(Self {
            endpoint: endpoint.to_owned(),
            request: request.parse().map_err(|_| invalid())?,
            position: position.to_owned(),
        })
    }
}
