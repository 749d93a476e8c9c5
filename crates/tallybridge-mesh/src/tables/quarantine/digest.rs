//! Identity of a request: digests of its content.
//!
//! Two attempts belong to the same request if tenant, host, request line and body are equal byte by
//! byte. The attempt id, the remaining time and other header fields differ between attempts and are
//! ignored. Nodes store, send and log only digests, never the content of a request.

use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    platform::HeaderNames,
    protocol::{CallMessage, DIGEST_BYTES, RequestDigest},
};

/// Digests of a request with and without its calling service, because a request may crash back ends only
/// when a certain service sends it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestDigests {
    /// Digest of tenant, host, request line and body.
    pub content: RequestDigest,
    /// Digest of the content and the calling service.
    pub with_caller: RequestDigest,
}

impl RequestDigests {
    /// Returns the content digest, followed by the digest with the calling service.
    #[must_use]
    pub const fn to_array(self) -> [RequestDigest; 2] {
        [self.content, self.with_caller]
    }
}

/// Hashes of the same parts as [`RequestDigests`]. They are cheaper to compute but valid in one process only.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestHashes {
    pub content: u64,
    pub with_caller: u64,
}

/// Parts of a call that identify its request, borrowed from the bytes of the call.
#[derive(Debug, Clone, Copy)]
pub struct CallContent<'a> {
    request_line: &'a [u8],
    host: &'a [u8],
    tenant: &'a [u8],
    caller: &'a [u8],
    body: &'a [u8],
}

impl<'a> CallContent<'a> {
    /// Extracts the parts from a call as sent between nodes.
    #[must_use]
    pub fn new(call: &'a CallMessage, names: &HeaderNames) -> Self {
        Self::from_head_and_body(&call.head, &call.body, names)
    }

    /// Extracts the parts from the head and body that the back end receives. A part that the head does
    /// not contain is empty.
    #[must_use]
    pub fn from_head_and_body(head: &'a [u8], body: &'a [u8], names: &HeaderNames) -> Self {
        let mut lines = head.split(|byte| *byte == b'\n');
        // `split` always yields at least one item.
        let request_line = lines.next().unwrap_or(b"");
        let mut content = Self {
            request_line,
            host: b"",
            tenant: b"",
            caller: b"",
            body,
        };
        for line in lines {
            let Some(colon) = line.iter().position(|byte| *byte == b':') else {
                continue;
            };
            let (name, value) = line.split_at(colon);
            let is_header = |header: &str| name.eq_ignore_ascii_case(header.as_bytes());
            if is_header("host") {
                content.host = value;
            } else if is_header(names.tenant) {
                content.tenant = value;
            } else if is_header(names.caller_service) {
                content.caller = value;
            }
        }
        content
    }

    const fn parts_without_caller(&self) -> [&'a [u8]; 4] {
        [self.tenant, self.host, self.request_line, self.body]
    }

    /// Computes the digests. They are equal on all nodes.
    #[must_use]
    pub fn digests(&self) -> RequestDigests {
        let mut hasher = Sha256::new();
        for part in self.parts_without_caller() {
            // The length prefix makes different splits of the same bytes hash differently.
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        let content = finalize_truncated(hasher);
        let mut hasher = Sha256::new();
        hasher.update(content.0);
        hasher.update(self.caller);
        RequestDigests {
            content,
            with_caller: finalize_truncated(hasher),
        }
    }

    /// Computes the hashes, seeded with a secret of this process so that a caller cannot construct requests
    /// that collide.
    #[must_use]
    pub fn hashes(&self, secret: u64) -> RequestHashes {
        let parts = self.parts_without_caller();
        let hash_part = |seed: u64, part: &&[u8]| xxh3_64_with_seed(part, seed.rotate_left(7));
        let content = parts.iter().fold(secret, hash_part);
        RequestHashes {
            content,
            with_caller: hash_part(content, &self.caller),
        }
    }
}

fn finalize_truncated(hasher: Sha256) -> RequestDigest {
    let hash = hasher.finalize();
    let mut digest = [0; DIGEST_BYTES];
    digest.copy_from_slice(&hash[..DIGEST_BYTES]);
    RequestDigest(digest)
}
