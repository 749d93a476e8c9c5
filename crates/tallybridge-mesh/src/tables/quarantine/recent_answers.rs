//! Popular requests: what the back end answered several times in the last seconds.
//!
//! A popular request is running at most crashes. Three back ends may crash within one run of it, so that no
//! answer clears it in between. Therefore it is no suspect of a crash at a node that got answers to it just
//! before. Without this exemption 165 innocent requests were quarantined in one run of `path/crashes.rs`
//! (docs/design/quarantine.md, "Which call is to blame").

use std::{collections::HashMap, time::Duration};

use crate::clock::BootInstant;

/// Age of a generation: an answer counts for at least this time and at most twice as long. Origin
/// not recorded.
const GENERATION: Duration = Duration::from_secs(10);
/// Requests in one generation: two of them take some 200 KB. Origin not recorded.
const MAX_REQUESTS: usize = 4096;
/// Answered runs from which on a request is popular. Origin not recorded.
const POPULAR_FROM: u8 = 2;

/// Answered runs by the hash of their request, in two generations.
#[derive(Debug)]
pub(super) struct RecentAnswers {
    newer: HashMap<u64, u8>,
    older: HashMap<u64, u8>,
    newer_since: BootInstant,
}

impl RecentAnswers {
    /// No answers yet.
    pub(super) fn new(now: BootInstant) -> Self {
        Self {
            newer: HashMap::new(),
            older: HashMap::new(),
            newer_since: now,
        }
    }

    /// Counts an answered run of a request.
    pub(super) fn add(&mut self, hash: u64, now: BootInstant) {
        let is_old = now.saturating_duration_since(self.newer_since) >= GENERATION;
        if is_old || self.newer.len() >= MAX_REQUESTS {
            self.older = std::mem::take(&mut self.newer);
            self.newer_since = now;
        }
        let runs = self.newer.entry(hash).or_insert(0);
        *runs = runs.saturating_add(1);
    }

    /// Whether a request is popular. Its answers are forgotten: a request that has just begun to crash back
    /// ends is a suspect from the next crash on.
    pub(super) fn take_popular(&mut self, hash: u64) -> bool {
        let newer = self.newer.remove(&hash).unwrap_or(0);
        let older = self.older.remove(&hash).unwrap_or(0);
        newer.saturating_add(older) >= POPULAR_FROM
    }
}
