//! Recent share of attempts that an endpoint refused or failed.
//!
//! An endpoint that refuses calls at once looks idle. This share keeps such an endpoint from
//! attracting traffic that it cannot serve. The share decays over time, so that the endpoint is
//! tried again. After a long streak of unserved attempts, a few more are enough to raise the share
//! again.

use std::time::{Duration, Instant};

/// Weight of one attempt in the share.
const ATTEMPT_WEIGHT: f64 = 0.2;
/// Streak length from which the weight of an unserved attempt no longer grows.
const MAX_STREAK: i32 = 16;

/// Recent share of attempts that were not served, from 0 to 1.
#[derive(Debug, Clone, Copy)]
pub struct UnservedShare {
    share: f64,
    /// Number of unserved attempts in a row.
    streak: i32,
    updated: Instant,
}

impl UnservedShare {
    /// Creates a share of 0.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            share: 0.0,
            streak: 0,
            updated: now,
        }
    }

    /// Records whether an attempt was served.
    pub fn record(&mut self, is_served: bool, half_life: Duration, now: Instant) {
        let share = self.get(half_life, now);
        if is_served {
            self.streak = 0;
            self.share = share * (1.0 - ATTEMPT_WEIGHT);
        } else {
            self.streak = (self.streak + 1).min(MAX_STREAK);
            self.share = 1.0 - (1.0 - share) * (1.0 - ATTEMPT_WEIGHT).powi(self.streak);
        }
        self.updated = now;
    }

    /// Returns the share at `now`. It halves in each `half_life` without attempts.
    #[must_use]
    pub fn get(&self, half_life: Duration, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated);
        self.share * (-(age.as_secs_f64() / half_life.as_secs_f64())).exp2()
    }
}
