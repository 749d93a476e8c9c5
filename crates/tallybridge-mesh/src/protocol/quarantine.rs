//! Messages about back-end crashes and the requests that may have caused them.
//!
//! [`crate::tables::quarantine`] decides which requests are quarantined.

use std::{fmt, time::Duration};

use bytes::Bytes;
use deku::prelude::*;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::codec::{put_fields, take_fields};

/// Size of a digest in bytes, large enough that nobody can construct a request with the digest of
/// another one.
pub const DIGEST_BYTES: usize = 16;
const TAG_BITS: u32 = 15;
const TAG_MASK: u64 = (1 << TAG_BITS) - 1;
/// Position of the tag in the id of a report.
const TAG_SHIFT: u32 = u64::BITS - TAG_BITS;
/// Bit of the id that is set if the report lists all calls interrupted by the crash.
const NAMES_ALL: u64 = 1 << (TAG_SHIFT - 1);

/// Digest of the content of a request: the first 16 bytes of a SHA-256 hash. The text form, used in
/// JSON and logs, has 32 hexadecimal digits.
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

/// Text that is not the hexadecimal form of a [`RequestDigest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("digest must consist of 32 hexadecimal digits")]
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

/// Reports a back-end crash and the requests that may have caused it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashReport {
    /// Id that identifies duplicates of a report received over several links. The high bits hold the
    /// [`ServiceTag`] and [`names_all`](Self::names_all); the other bits are random.
    pub id: u64,
    /// Digests of the calls that the crash interrupted, except for calls of popular requests.
    pub suspects: Vec<RequestDigest>,
}

/// A 15-bit hash of a service name that identifies the service in the id of a crash report. Services
/// with the same tag count each other's crashes as their own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ServiceTag(u16);

impl ServiceTag {
    /// Computes the tag of the service with this name.
    #[must_use]
    pub fn from_name(service: &str) -> Self {
        Self((xxh3_64(service.as_bytes()) & TAG_MASK) as u16)
    }
}

/// A quarantined request, or a suspect that one more crash would quarantine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantinedRequest {
    /// Digest of the request, which may or may not include the calling service.
    pub digest: RequestDigest,
    /// Number of crashes with this request as a suspect since a back end last answered it.
    pub crashes: u8,
    /// Time until the quarantine ends; zero for a suspect.
    pub remaining: Duration,
}

/// Fixed field of a crash report, which precedes the digests of the suspects.
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
    /// Creates a report with a new random id. `names_all` is true if `suspects` lists all calls that
    /// the crash interrupted.
    #[must_use]
    pub fn new(service: ServiceTag, names_all: bool, suspects: Vec<RequestDigest>) -> Self {
        let tag = u64::from(service.0) << TAG_SHIFT;
        let names_all_bit = if names_all { NAMES_ALL } else { 0 };
        let random_bits = rand::random::<u64>() & (NAMES_ALL - 1);
        Self {
            id: tag | names_all_bit | random_bits,
            suspects,
        }
    }

    /// Returns the tag of the service whose back end crashed.
    #[must_use]
    pub const fn service(&self) -> ServiceTag {
        ServiceTag((self.id >> TAG_SHIFT) as u16)
    }

    /// Returns whether the suspects are all calls that the crash interrupted. If not, a popular request
    /// outside the list may have caused the crash.
    #[must_use]
    pub const fn names_all(&self) -> bool {
        self.id & NAMES_ALL != 0
    }

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
            left_ms: u64::try_from(self.remaining.as_millis()).unwrap_or(u64::MAX),
        };
        put_fields(&fields, out);
    }

    /// Removes a request from the front of a payload.
    pub(super) fn decode(payload: &mut Bytes) -> Option<Self> {
        let fields: QuarantinedFields = take_fields(payload)?;
        Some(Self {
            digest: RequestDigest(fields.digest),
            crashes: fields.crashes,
            remaining: Duration::from_millis(fields.left_ms),
        })
    }
}
