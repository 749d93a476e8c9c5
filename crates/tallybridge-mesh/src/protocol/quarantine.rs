//! Crashes of back ends, and the requests that are suspected of them or quarantined.

use std::{fmt, time::Duration};

use bytes::Bytes;
use deku::prelude::*;
use serde::{Deserialize, Serialize};

use super::codec::{put_fields, take_fields};

/// Size of a digest, in bytes: 128 bits, so that nobody can craft a request with another's digest.
pub const DIGEST_BYTES: usize = 16;

/// Digest of what a request asks for: the first half of a SHA-256. Written as 32 hexadecimal
/// digits in logs and stored items.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct RequestDigest(pub [u8; DIGEST_BYTES]);

impl fmt::Display for RequestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for RequestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

impl From<RequestDigest> for String {
    fn from(digest: RequestDigest) -> Self {
        digest.to_string()
    }
}

/// A text that is not a digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a digest has 32 hexadecimal digits")]
pub struct MalformedDigest;

impl TryFrom<String> for RequestDigest {
    type Error = MalformedDigest;

    fn try_from(text: String) -> Result<Self, MalformedDigest> {
        if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
            return Err(MalformedDigest);
        }
        let mut digest = [0; DIGEST_BYTES];
        for (byte, digits) in digest.iter_mut().zip(text.as_bytes().chunks_exact(2)) {
            let digits = std::str::from_utf8(digits).map_err(|_| MalformedDigest)?;
            *byte = u8::from_str_radix(digits, 16).map_err(|_| MalformedDigest)?;
        }
        Ok(Self(digest))
    }
}

/// A back end crashed, and these requests may have caused it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashReport {
    /// Number of the report, drawn at random by its sender, so that it is counted once.
    pub id: u64,
    /// Digests of the requests that were under way at the back end.
    pub suspects: Vec<RequestDigest>,
}

/// A request that is quarantined, or a suspect that is not quarantined yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantinedRequest {
    /// Digest of the request.
    pub digest: RequestDigest,
    /// Back ends that crashed while they worked on it.
    pub crashes: u8,
    /// Time until its quarantine ends; zero for a suspect.
    pub left: Duration,
}

/// The digests of the suspects follow.
#[derive(Debug, DekuRead, DekuWrite)]
#[deku(endian = "big")]
struct CrashFields {
    id: u64,
}

#[derive(Debug, DekuRead, DekuWrite)]
#[deku(endian = "big")]
struct QuarantinedFields {
    digest: [u8; DIGEST_BYTES],
    crashes: u8,
    left_ms: u64,
}

impl RequestDigest {
    pub(super) fn decode(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }
}

impl CrashReport {
    pub(super) fn encode(&self, out: &mut Vec<u8>) {
        put_fields(&CrashFields { id: self.id }, out);
        for suspect in &self.suspects {
            out.extend_from_slice(&suspect.0);
        }
    }

    pub(super) fn decode(mut payload: Bytes) -> Option<Self> {
        let fields: CrashFields = take_fields(&mut payload)?;
        let suspects = payload.chunks(DIGEST_BYTES).map(RequestDigest::decode);
        Some(Self {
            id: fields.id,
            suspects: suspects.collect::<Option<_>>()?,
        })
    }
}

impl QuarantinedRequest {
    pub(super) fn encode(&self, out: &mut Vec<u8>) {
        let fields = QuarantinedFields {
            digest: self.digest.0,
            crashes: self.crashes,
            left_ms: u64::try_from(self.left.as_millis()).unwrap_or(u64::MAX),
        };
        put_fields(&fields, out);
    }

    pub(super) fn decode(mut payload: Bytes) -> Option<Self> {
        let fields: QuarantinedFields = take_fields(&mut payload)?;
        Some(Self {
            digest: RequestDigest(fields.digest),
            crashes: fields.crashes,
            left: Duration::from_millis(fields.left_ms),
        })
    }
}
