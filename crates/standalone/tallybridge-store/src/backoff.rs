//! Delays between retries of store requests and appends.

use std::time::Duration;

use rand::{Rng, rngs::SmallRng};

/// Exponential backoff with full jitter (Brooker, "Exponential Backoff And Jitter", AWS
/// Architecture Blog, 2015).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff {
    /// Upper bound of the first delay.
    pub first: Duration,
    /// Upper bound of all delays.
    pub longest: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            first: Duration::from_millis(50),
            longest: Duration::from_secs(5),
        }
    }
}

impl Backoff {
    /// Returns a random delay to wait after `failures` consecutive failures.
    #[must_use]
    pub fn wait(&self, failures: u32, random: &mut SmallRng) -> Duration {
        let doublings = failures.saturating_sub(1).min(u32::BITS - 1);
        let bound = self.first.saturating_mul(1 << doublings).min(self.longest);
        bound.mul_f64(random.random::<f64>())
    }
}
