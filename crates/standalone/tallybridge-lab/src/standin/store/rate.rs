//! The store's rate limit: a token bucket.

use std::time::Duration;

use tokio::time::Instant;

/// A bucket that fills at a steady rate and holds a burst.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    per_second: f64,
    burst: f64,
    tokens: f64,
    filled: Instant,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(per_second: f64, burst: u32, now: Instant) -> Self {
        let burst = f64::from(burst.max(1));
        Self {
            per_second: per_second.max(f64::MIN_POSITIVE),
            burst,
            tokens: burst,
            filled: now,
        }
    }

    /// Takes one token.
    ///
    /// # Errors
    ///
    /// The time until there is one.
    pub fn take(&mut self, now: Instant) -> Result<(), Duration> {
        let elapsed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.per_second).min(self.burst);
        self.filled = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let wait_s = (1.0 - self.tokens) / self.per_second;
        Err(Duration::try_from_secs_f64(wait_s).unwrap_or(Duration::MAX))
    }
}
