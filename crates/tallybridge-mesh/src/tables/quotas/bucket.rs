//! A token bucket.

use std::time::Duration;

use crate::{clock::BootInstant, configuration::tenants::RateLimit};

/// Shortest time to come back that is told, in whole milliseconds as callers read it: none would mean
/// at once.
const LEAST_WAIT: Duration = Duration::from_millis(2);
/// Longest time to come back that is told.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Tokens that come at a steady rate and are kept up to a number.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    limit: RateLimit,
    level: f64,
    filled_at: BootInstant,
    /// Until when the tokens to come are promised to requests that were told to come back.
    promised_until: BootInstant,
}

impl TokenBucket {
    /// A bucket that held so many tokens at a time, as far as they fit.
    #[must_use]
    pub const fn new(limit: RateLimit, level: f64, since: BootInstant) -> Self {
        Self {
            limit,
            level,
            filled_at: since,
            promised_until: since,
        }
    }

    /// Takes in a changed limit: what is there beyond the new burst is lost.
    pub fn set_limit(&mut self, limit: RateLimit, now: BootInstant) {
        if limit != self.limit {
            self.fill(now);
            self.limit = limit;
            self.level = self.level.min(self.capacity());
        }
    }

    /// Holds no more than so many tokens, with none that came before a time.
    pub fn begin_anew(&mut self, most: f64, since: BootInstant) {
        self.level = self.level.min(most);
        self.filled_at = since;
    }

    /// Takes a token, and up to `ahead` more if the bucket is more than half full without them:
    /// tokens that are held elsewhere may expire unused, which a tenant near its limit would miss.
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

    /// Time until a token is likely to be free for one more request that was refused: each such
    /// request is promised a place, so that not all come back for the same token.
    pub fn promise(&mut self, now: BootInstant) -> Duration {
        let rate = self.limit.per_second.max(f64::MIN_POSITIVE);
        let first = (1.0 - self.level).max(0.0) / rate;
        let first = now + Duration::from_secs_f64(first.min(MAX_WAIT.as_secs_f64()));
        let interval = Duration::from_secs_f64((1.0 / rate).min(MAX_WAIT.as_secs_f64()));
        let latest = now + MAX_WAIT;
        let place = (self.promised_until + interval).clamp(first, latest);
        self.promised_until = place;
        place.saturating_duration_since(now).max(LEAST_WAIT)
    }

    /// At least one token fits, or a small limit would never let a request in.
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
