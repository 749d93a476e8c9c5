//! Local health multiplier (Lifeguard, section IV): a node whose own probes go unanswered assumes
//! that its own link may be at fault and uses longer timeouts.

use std::time::Duration;

const MAX_SCORE: u32 = 8;

/// The score is 0 while this node is healthy.
#[derive(Debug, Default)]
pub(crate) struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    pub(crate) fn raise(&mut self, amount: usize) {
        let amount = u32::try_from(amount).unwrap_or(MAX_SCORE);
        self.score = self.score.saturating_add(amount).min(MAX_SCORE);
    }

    pub(crate) const fn lower(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    pub(crate) const fn score(&self) -> u32 {
        self.score
    }

    pub(crate) fn scale(&self, duration: Duration) -> Duration {
        duration * (self.score + 1)
    }
}
