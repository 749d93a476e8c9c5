//! The gradual increase of the limit of a back end after its start.

use std::time::{Duration, Instant};

/// A linear increase from a share of the limit to the full limit.
///
/// A back end that has just started (empty caches, no open connections, uncompiled code) becomes
/// overloaded if it receives its full load immediately.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ramp {
    start: Instant,
    duration: Duration,
    initial_share: f64,
}

impl Ramp {
    /// Creates a ramp that grows from `initial_share` (0 to 1) at `start` to 1 at
    /// `start + duration`.
    #[must_use]
    pub fn new(start: Instant, duration: Duration, initial_share: f64) -> Self {
        Self {
            start,
            duration,
            initial_share: initial_share.clamp(0.0, 1.0),
        }
    }

    /// Returns the usable share (0 to 1) of the limit at `now`.
    #[must_use]
    pub fn share(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.start);
        if elapsed >= self.duration {
            return 1.0;
        }
        let progress = elapsed.as_secs_f64() / self.duration.as_secs_f64();
        self.initial_share + (1.0 - self.initial_share) * progress
    }

    /// Returns whether the full limit is usable at `now`.
    #[must_use]
    pub fn is_complete(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.start) >= self.duration
    }
}
