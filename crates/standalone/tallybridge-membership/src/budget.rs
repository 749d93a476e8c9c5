//! Token bucket that limits the bytes sent.

use std::time::Instant;

/// One token is one byte. Probes and their answers may overdraw the bucket; all other traffic waits
/// for a positive balance.
#[derive(Debug)]
pub(crate) struct SendBudget {
    bytes_per_second: f64,
    burst: f64,
    tokens: f64,
    refilled: Instant,
}

impl SendBudget {
    pub(crate) fn new(bytes_per_second: u32, burst: u32, now: Instant) -> Self {
        Self {
            bytes_per_second: f64::from(bytes_per_second),
            burst: f64::from(burst),
            tokens: f64::from(burst),
            refilled: now,
        }
    }

    pub(crate) fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.refilled = now;
        self.tokens = (self.tokens + elapsed * self.bytes_per_second).min(self.burst);
    }

    pub(crate) const fn is_spent(&self) -> bool {
        self.tokens <= 0.0
    }

    /// Returns whether gossip must wait. The second half of the budget is reserved for comparisons,
    /// which carry more new information per byte during mass changes.
    pub(crate) fn is_low(&self) -> bool {
        self.tokens <= self.burst / 2.0
    }

    pub(crate) fn charge(&mut self, bytes: usize) {
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        self.tokens = (self.tokens - f64::from(bytes)).max(-self.burst);
    }
}
