//! Share of attempts that an endpoint refused or failed.
//!
//! An endpoint that refuses at once looks idle; without this share it would attract the traffic
//! that it can't serve.
//!
//! Time forgets the share so that the endpoint is tried again; the more attempts in a row it has not
//! served, the fewer further ones it takes to bring the share back.

use std::time::{Duration, Instant};

/// Weight of one attempt in the share.
const ATTEMPT_WEIGHT: f64 = 0.2;
/// Attempts in a row beyond which the weight grows no more.
const LONGEST_STREAK: i32 = 16;

/// Recent share of attempts that were not served, 0 to 1.
#[derive(Debug, Clone, Copy)]
pub struct UnservedShare {
    share: f64,
    /// Attempts in a row that were not served.
    streak: i32,
    updated: Instant,
}

impl UnservedShare {
    /// A share of nothing.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            share: 0.0,
            streak: 0,
            updated: now,
        }
    }

    /// Counts an attempt.
    pub fn record(&mut self, served: bool, half_life: Duration, now: Instant) {
        let share = self.get(half_life, now);
        if served {
            self.streak = 0;
            self.share = share * (1.0 - ATTEMPT_WEIGHT);
        } else {
            self.streak = (self.streak + 1).min(LONGEST_STREAK);
            self.share = 1.0 - (1.0 - share) * (1.0 - ATTEMPT_WEIGHT).powi(self.streak);
        }
        self.updated = now;
    }

    /// The share now; it halves with each half-life so that the endpoint is tried again.
    #[must_use]
    pub fn get(&self, half_life: Duration, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated);
        self.share * (-(age.as_secs_f64() / half_life.as_secs_f64())).exp2()
    }
}
