//! Requests that back ends answered lately, and often.

use std::{collections::HashMap, time::Duration};

use crate::clock::BootInstant;

/// Time for which answered runs count, at least; at most twice as long.
const KEPT: Duration = Duration::from_secs(10);
/// Requests in one generation: at most two of them are kept, some 200 KB.
const MAX_REQUESTS: usize = 4096;
/// Answered runs from which on a request counts as popular.
const POPULAR_FROM: u8 = 2;

/// Requests by their hash, with the runs that were answered, in two generations.
#[derive(Debug)]
pub struct RecentAnswers {
    newer: HashMap<u64, u8>,
    older: HashMap<u64, u8>,
    began: BootInstant,
}

impl RecentAnswers {
    pub fn new(now: BootInstant) -> Self {
        Self {
            newer: HashMap::new(),
            older: HashMap::new(),
            began: now,
        }
    }

    /// A run of a request was answered.
    pub fn note(&mut self, hash: u64, now: BootInstant) {
        let is_old = now.saturating_duration_since(self.began) >= KEPT;
        if is_old || self.newer.len() >= MAX_REQUESTS {
            self.older = std::mem::take(&mut self.newer);
            self.began = now;
        }
        let runs = self.newer.entry(hash).or_default();
        *runs = runs.saturating_add(1);
    }

    /// Whether a request was answered several times lately. What is known of it is forgotten: a
    /// request that began to end back ends just now counts as a suspect from the next crash on.
    pub fn take_popular(&mut self, hash: u64) -> bool {
        let newer = self.newer.remove(&hash).unwrap_or_default();
        let older = self.older.remove(&hash).unwrap_or_default();
        newer.saturating_add(older) >= POPULAR_FROM
    }
}
