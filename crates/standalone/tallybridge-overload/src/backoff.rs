//! The delay before a retry.

use std::time::{Duration, Instant};

use rand::Rng;

/// Exponential backoff with full jitter.
///
/// The delay is uniform between zero and `min(max, base * 2^retry)`, so that calls that fail
/// together are not retried together. See "Exponential Backoff And Jitter" (Brooker, AWS
/// Architecture Blog, 2015).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff {
    /// Upper bound of the delay before the first retry.
    pub base: Duration,
    /// Upper bound of every delay.
    pub max: Duration,
}

impl Backoff {
    /// Draws the delay before retry number `retry`, counted from zero.
    pub fn delay<R: Rng + ?Sized>(&self, retry: u32, rng: &mut R) -> Duration {
        self.max_delay(retry).mul_f64(rng.random::<f64>())
    }

    /// Draws the delay before retry number `retry`, counted from zero, and returns `None` if the
    /// delay would end at or after `deadline`.
    pub fn within<R: Rng + ?Sized>(
        &self,
        retry: u32,
        now: Instant,
        deadline: Instant,
        rng: &mut R,
    ) -> Option<Duration> {
        let delay = self.delay(retry, rng);
        let remaining = deadline.saturating_duration_since(now);
        (delay < remaining).then_some(delay)
    }

    fn max_delay(&self, retry: u32) -> Duration {
        let factor = 1_u32.checked_shl(retry).unwrap_or(u32::MAX);
        self.base.saturating_mul(factor).min(self.max)
    }
}
