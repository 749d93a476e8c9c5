//! How long to wait before a retry.

use std::time::{Duration, Instant};

use rand::Rng;

/// Exponential backoff with full jitter.
///
/// "Exponential Backoff And Jitter" (Brooker, AWS Architecture Blog, 2015): the delay is uniform
/// between zero and `min(max, base * 2^attempt)`, so retries of one event do not arrive together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff {
    /// Bound of the delay before the first retry.
    pub base: Duration,
    /// Bound of every delay.
    pub max: Duration,
}

impl Backoff {
    /// The delay before retry number `attempt`, counted from zero.
    pub fn delay<R: Rng + ?Sized>(&self, attempt: u32, rng: &mut R) -> Duration {
        self.bound(attempt).mul_f64(rng.random::<f64>())
    }

    /// The delay before retry number `attempt`, or `None` when it would end at or after
    /// `deadline`.
    pub fn within<R: Rng + ?Sized>(
        &self,
        attempt: u32,
        now: Instant,
        deadline: Instant,
        rng: &mut R,
    ) -> Option<Duration> {
        let delay = self.delay(attempt, rng);
        let remaining = deadline.saturating_duration_since(now);
        (delay < remaining).then_some(delay)
    }

    /// The greatest delay before retry number `attempt`.
    fn bound(&self, attempt: u32) -> Duration {
        let factor = 1_u32.checked_shl(attempt).unwrap_or(u32::MAX);
        self.base.saturating_mul(factor).min(self.max)
    }
}
