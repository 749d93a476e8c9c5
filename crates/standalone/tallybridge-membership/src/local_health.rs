//! Local health multiplier (Lifeguard, section IV): a node whose own probes go unanswered trusts
//! them less and waits longer.

use std::time::Duration;

/// Largest score.
const MAX_SCORE: u32 = 8;

/// 0 when this node seems well.
#[derive(Debug, Default)]
pub(crate) struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    pub(crate) fn raise(&mut self, by: usize) {
        let by = u32::try_from(by).unwrap_or(MAX_SCORE);
        self.score = self.score.saturating_add(by).min(MAX_SCORE);
    }

    pub(crate) const fn lower(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    pub(crate) const fn score(&self) -> u32 {
        self.score
    }

    pub(crate) fn scale(&self, time: Duration) -> Duration {
        time * (self.score + 1)
    }
}
