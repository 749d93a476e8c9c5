//! The identity of a request.
//!
//! Two attempts are the same request if tenant, host, request line and body are equal byte by byte.
//! The id of the attempt, the time left and other header fields differ from one attempt to the
//! next. Nodes store, send and log digests only, never the content of a request.

use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    platform::HeaderNames,
    protocol::{CallMessage, DIGEST_BYTES, RequestDigest},
};

/// The two digests of a request: whether it crashes back ends may depend on the service that calls, or not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestDigests {
    /// Of the content alone, whichever service calls.
    pub content: RequestDigest,
    /// Of the content and the calling service.
    pub from_caller: RequestDigest,
}

impl RequestDigests {
    /// Both, the one of the content alone first.
    #[must_use]
    pub const fn both(self) -> [RequestDigest; 2] {
        [self.content, self.from_caller]
    }
}

/// Short hashes in place of the digests, cheap to make, for tables that stay within one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ContentHashes {
    /// Of the content alone, whichever service calls.
    pub content: u64,
    /// Of the content and the calling service.
    pub from_caller: u64,
}

/// The parts of a call that make up its identity, borrowed from its bytes.
#[derive(Debug, Clone, Copy)]
pub struct CallContent<'a> {
    request_line: &'a [u8],
    host: &'a [u8],
    tenant: &'a [u8],
    caller: &'a [u8],
    body: &'a [u8],
}

impl<'a> CallContent<'a> {
    /// The content of a call as it travels between nodes.
    #[must_use]
    pub fn of(call: &'a CallMessage, names: &HeaderNames) -> Self {
        Self::of_parts(&call.head, &call.body, names)
    }

    /// The content of a call by the head and body that its back end gets. A head without a line,
    /// host, tenant or caller has an empty part in its place.
    #[must_use]
    pub fn of_parts(head: &'a [u8], body: &'a [u8], names: &HeaderNames) -> Self {
        let mut lines = head.split(|byte| *byte == b'\n');
        // A split always has a first part.
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
            let is = |other: &str| name.eq_ignore_ascii_case(other.as_bytes());
            if is("host") {
                content.host = value;
            } else if is(names.tenant) {
                content.tenant = value;
            } else if is(names.caller_service) {
                content.caller = value;
            }
        }
        content
    }

    /// The parts apart from the calling service.
    const fn parts(&self) -> [&'a [u8]; 4] {
        [self.tenant, self.host, self.request_line, self.body]
    }

    /// Digests that are the same at all nodes.
    #[must_use]
    pub fn digests(&self) -> RequestDigests {
        let mut hasher = Sha256::new();
        for part in self.parts() {
            // With its length before each part, different parts never hash the same bytes.
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        let content = first_half(hasher);
        let mut hasher = Sha256::new();
        hasher.update(content.0);
        hasher.update(self.caller);
        RequestDigests {
            content,
            from_caller: first_half(hasher),
        }
    }

    /// Hashes by a secret of this process, so that a caller can't work out requests that collide.
    #[must_use]
    pub fn hashes(&self, secret: u64) -> ContentHashes {
        let parts = self.parts();
        let add = |seed: u64, part: &&[u8]| xxh3_64_with_seed(part, seed.rotate_left(7));
        let content = parts.iter().fold(secret, add);
        ContentHashes {
            content,
            from_caller: add(content, &self.caller),
        }
    }
}

fn first_half(hasher: Sha256) -> RequestDigest {
    let hash = hasher.finalize();
    let mut digest = [0; DIGEST_BYTES];
    digest.copy_from_slice(&hash[..DIGEST_BYTES]);
    RequestDigest(digest)
}
