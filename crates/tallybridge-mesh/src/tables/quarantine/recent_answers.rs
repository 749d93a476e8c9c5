//! Popular requests: requests that the back end answered several times in the last 10 s to 20 s.
//!
//! A popular request is running during most crashes, so three crashes can interrupt it before an answer clears
//! it. A node that received answers to such a request shortly before a crash does not suspect the request.

use std::{collections::HashMap, time::Duration};

use crate::clock::BootInstant;

/// An answer counts for one to two generations.
const GENERATION_LENGTH: Duration = Duration::from_secs(10);
/// Bounds memory to about 200 KB for two generations.
const MAX_REQUESTS_PER_GENERATION: usize = 4096;
const MIN_POPULAR_ANSWERS: u8 = 2;

/// Number of answers by request hash, in two generations.
#[derive(Debug)]
pub(super) struct RecentAnswers {
    current: HashMap<u64, u8>,
    previous: HashMap<u64, u8>,
    current_since: BootInstant,
}

impl RecentAnswers {
    pub(super) fn new(now: BootInstant) -> Self {
        Self {
            current: HashMap::new(),
            previous: HashMap::new(),
            current_since: now,
        }
    }

    pub(super) fn add(&mut self, hash: u64, now: BootInstant) {
        let is_expired = now.saturating_duration_since(self.current_since) >= GENERATION_LENGTH;
        if is_expired || self.current.len() >= MAX_REQUESTS_PER_GENERATION {
            self.previous = std::mem::take(&mut self.current);
            self.current_since = now;
        }
        let answers = self.current.entry(hash).or_insert(0);
        *answers = answers.saturating_add(1);
    }

    /// Returns whether a request is popular and forgets its answers, so that a request that starts to crash
    /// back ends is a suspect of the next crash.
    pub(super) fn take_popular(&mut self, hash: u64) -> bool {
        let current = self.current.remove(&hash).unwrap_or(0);
        let previous = self.previous.remove(&hash).unwrap_or(0);
        current.saturating_add(previous) >= MIN_POPULAR_ANSWERS
    }
}
