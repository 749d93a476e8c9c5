//! Cold start: a back end gets a growing share of its limit.

use std::time::{Duration, Instant};

/// A linear rise from a small share of the limit to the whole of it over a set time.
///
/// A cold back end (empty caches, unopened connections, uncompiled code) that gets its full share
/// at once is slow at once.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ramp {
    start: Instant,
    duration: Duration,
    initial_share: f64,
}

impl Ramp {
    /// A ramp from `initial_share` (0 to 1) at `start` to one at `start + duration`.
    #[must_use]
    pub fn new(start: Instant, duration: Duration, initial_share: f64) -> Self {
        Self {
            start,
            duration,
            initial_share: initial_share.clamp(0.0, 1.0),
        }
    }

    /// The share (0 to 1) of the limit that is open at `now`.
    #[must_use]
    pub fn share(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.start);
        if elapsed >= self.duration {
            return 1.0;
        }
        let progress = elapsed.as_secs_f64() / self.duration.as_secs_f64();
        self.initial_share + (1.0 - self.initial_share) * progress
    }

    /// Whether the whole limit is open at `now`.
    #[must_use]
    pub fn is_over(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.start) >= self.duration
    }
}
