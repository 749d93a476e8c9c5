//! A token bucket, which also tells refused requests when to come back.

use std::time::Duration;

use crate::{clock::BootInstant, configuration::tenants::RateLimit};

/// Shortest time to come back. Callers get it in thousandths of a second, and 0.000 would mean at once.
const LEAST_WAIT: Duration = Duration::from_millis(2);
/// Longest time to come back. Origin not recorded.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Tokens that come at a steady rate and are kept up to the burst of a limit.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    limit: RateLimit,
    level: f64,
    filled_at: BootInstant,
    /// Until when the tokens to come are promised to requests that were refused.
    promised_until: BootInstant,
}

impl TokenBucket {
    /// A bucket with `level` tokens at the time `since`, as far as they fit.
    #[must_use]
    pub const fn new(limit: RateLimit, level: f64, since: BootInstant) -> Self {
        Self {
            limit,
            level,
            filled_at: since,
            promised_until: since,
        }
    }

    /// Applies a changed limit: tokens beyond the new burst are lost.
    pub fn set_limit(&mut self, limit: RateLimit, now: BootInstant) {
        if limit != self.limit {
            self.fill(now);
            self.limit = limit;
            self.level = self.level.min(self.capacity());
        }
    }

    /// Keeps at most `most` tokens, and none of those that came before `since`.
    pub fn restart(&mut self, most: f64, since: BootInstant) {
        self.level = self.level.min(most);
        self.filled_at = since;
    }

    /// Takes a token, and up to `ahead` more as long as the bucket stays at least half full; gives how
    /// many were taken.
    pub fn take(&mut self, ahead: u32, now: BootInstant) -> u32 {
        self.fill(now);
        if self.level < 1.0 {
            return 0;
        }
        let spare = (self.level - 1.0 - self.capacity() / 2.0).max(0.0);
        let taken = 1.0 + spare.floor().min(f64::from(ahead));
        self.level -= taken;
        taken as u32
    }

    /// The time after which a request that is refused now is likely to find a token. Each one is promised
    /// the next token that nobody was promised before, so that not all come back for the same one.
    pub fn promise(&mut self, now: BootInstant) -> Duration {
        let rate = self.limit.per_second.max(f64::MIN_POSITIVE);
        let until_first = (1.0 - self.level).max(0.0) / rate;
        let first = now + Duration::from_secs_f64(until_first.min(MAX_WAIT.as_secs_f64()));
        let interval = Duration::from_secs_f64((1.0 / rate).min(MAX_WAIT.as_secs_f64()));
        let latest = now + MAX_WAIT;
        let promised = (self.promised_until + interval).clamp(first, latest);
        self.promised_until = promised;
        promised.saturating_duration_since(now).max(LEAST_WAIT)
    }

    /// At least one token fits, or a burst below one would never admit a request.
    fn capacity(&self) -> f64 {
        self.limit.burst.max(1.0)
    }

    fn fill(&mut self, now: BootInstant) {
        let elapsed = now.saturating_duration_since(self.filled_at);
        let level = self.level + elapsed.as_secs_f64() * self.limit.per_second;
        self.level = level.min(self.capacity());
        self.filled_at = self.filled_at.max(now);
    }
}
