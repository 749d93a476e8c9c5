//! Share of attempts that an endpoint refused or failed.
//!
//! An endpoint that refuses at once looks idle; without this share it would attract the traffic
//! that it can't serve.

use std::time::{Duration, Instant};

/// Weight of one attempt in the share.
const ATTEMPT_WEIGHT: f64 = 0.2;

/// Recent share of attempts that were not served, 0 to 1.
#[derive(Debug, Clone, Copy)]
pub struct UnservedShare {
    share: f64,
    updated: Instant,
}

impl UnservedShare {
    /// A share of nothing.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            share: 0.0,
            updated: now,
        }
    }

    /// Counts an attempt.
    pub fn record(&mut self, served: bool, half_life: Duration, now: Instant) {
        let target = if served { 0.0 } else { 1.0 };
        let share = self.get(half_life, now);
        self.share = share + (target - share) * ATTEMPT_WEIGHT;
        self.updated = now;
    }

    /// The share now; it halves with each half-life so that the endpoint is tried again.
    #[must_use]
    pub fn get(&self, half_life: Duration, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated);
        self.share * (-(age.as_secs_f64() / half_life.as_secs_f64())).exp2()
    }
}
