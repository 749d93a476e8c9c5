//! Answers whose content follows from the call, so that whoever gets one can verify it.

use bytes::Bytes;
use rand::{RngCore, SeedableRng, rngs::SmallRng};
use xxhash_rust::xxh3::xxh3_64;

use super::CallPlace;

/// The one right answer to a call: bytes drawn from the call's place and service.
#[must_use]
pub fn answer_body(service: &str, place: &CallPlace, size: usize) -> Bytes {
    let seed = xxh3_64(format!("{service}/{place}").as_bytes());
    let mut body = vec![0; size];
    SmallRng::seed_from_u64(seed).fill_bytes(&mut body);
    body.into()
}

/// Digest by which an answer is recorded.
#[must_use]
pub fn digest(body: &[u8]) -> u64 {
    xxh3_64(body)
}
