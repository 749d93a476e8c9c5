//! Which requests are the same.
//!
//! Two attempts are the same request if they ask for the same with the same words: tenant, host,
//! request line and body. The name of the attempt, the time left and other header lines differ from
//! one attempt to the next. Nodes keep and tell digests only, never what a request holds.

use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    platform::HeaderNames,
    protocol::{CallMessage, DIGEST_BYTES, RequestDigest},
};

/// The two digests by which a request is known: whether it ends back ends may depend on the service
/// that makes it, or may not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestDigests {
    /// Of what is asked, whoever asks.
    pub content: RequestDigest,
    /// Of that and of the service that asks.
    pub from_caller: RequestDigest,
}

impl RequestDigests {
    /// Both, the one of what is asked first.
    #[must_use]
    pub const fn both(self) -> [RequestDigest; 2] {
        [self.content, self.from_caller]
    }
}

/// Short hashes in the place of the digests, for what stays within one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ContentHashes {
    /// Of what is asked.
    pub content: u64,
    /// Of that and of the service that asks.
    pub from_caller: u64,
}

/// What a call asks for, and who asks.
#[derive(Debug, Clone, Copy)]
pub struct CallContent<'a> {
    request_line: &'a [u8],
    host: &'a [u8],
    tenant: &'a [u8],
    caller: &'a [u8],
    body: &'a [u8],
}

impl<'a> CallContent<'a> {
    /// The content of a call that is on its way to an executor or has come there.
    #[must_use]
    pub fn of(call: &'a CallMessage, names: &HeaderNames) -> Self {
        Self::of_parts(&call.head, &call.body, names)
    }

    /// The content of a call by the head and body that its back end gets.
    #[must_use]
    pub fn of_parts(head: &'a [u8], body: &'a [u8], names: &HeaderNames) -> Self {
        let mut lines = head.split(|byte| *byte == b'\n');
        let request_line = lines.next().unwrap_or_default();
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

    /// What is asked, part by part.
    const fn parts(&self) -> [&'a [u8]; 4] {
        [self.tenant, self.host, self.request_line, self.body]
    }

    /// The digests by which all nodes know the request.
    #[must_use]
    pub fn digests(&self) -> RequestDigests {
        let mut hasher = Sha256::new();
        for part in self.parts() {
            // Lengths keep parts apart: no two requests run into the same bytes.
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

    /// Hashes that only this process can make, by a secret of its own.
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
    let whole = hasher.finalize();
    let mut digest = [0; DIGEST_BYTES];
    digest.copy_from_slice(&whole[..DIGEST_BYTES]);
    RequestDigest(digest)
}
