//! What nodes tell each other of crashes of back ends and of the requests that may be why.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

/// Size of a digest, in bytes: enough that nobody can make a request with another's digest.
pub const DIGEST_BYTES: usize = 16;

/// Digest of what a request asks for (SHA-256, its first half).
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

/// Text that is no digest.
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

/// A back end ended without notice, and these requests may be why.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashReport {
    /// Which report: drawn at random by its node.
    pub id: u64,
    /// Digests of what the back end was at work on.
    pub suspects: Vec<RequestDigest>,
}

/// A request that is held back, or a suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantinedRequest {
    /// Which.
    pub digest: RequestDigest,
    /// Back ends that ended under it.
    pub crashes: u8,
    /// For how long it is still held back; zero for a suspect that is not.
    pub left: Duration,
}
