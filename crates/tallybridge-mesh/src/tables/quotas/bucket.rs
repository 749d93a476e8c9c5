//! Token bucket that also schedules the retries of refused requests.

use std::time::Duration;

use crate::{clock::BootInstant, configuration::tenants::RateLimit};

/// Minimum time before a retry. Callers receive the time with millisecond precision, and zero would
/// mean an immediate retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(2);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Tokens that arrive at a constant rate until a time.
#[derive(Debug, Clone, Copy)]
struct Supplement {
    per_second: f64,
    until: BootInstant,
}

impl Supplement {
    fn between(self, from: BootInstant, to: BootInstant) -> f64 {
        let duration = self.until.min(to).saturating_duration_since(from);
        duration.as_secs_f64() * self.per_second
    }
}

/// Tokens that arrive at the rate of a limit and accumulate up to its burst.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    limit: RateLimit,
    tokens: f64,
    refilled_at: BootInstant,
    /// Tokens that arrive in addition to the limit.
    supplement: Supplement,
    /// Time of the latest scheduled retry.
    retries_scheduled_until: BootInstant,
}

impl TokenBucket {
    /// Creates a bucket that holds `tokens` tokens at `since`.
    #[must_use]
    pub const fn new(limit: RateLimit, tokens: f64, since: BootInstant) -> Self {
        Self {
            limit,
            tokens,
            refilled_at: since,
            supplement: Supplement {
                per_second: 0.0,
                until: since,
            },
            retries_scheduled_until: since,
        }
    }

    /// Applies a changed limit and discards the tokens that exceed the new burst.
    pub fn set_limit(&mut self, limit: RateLimit, now: BootInstant) {
        if limit != self.limit {
            self.refill(now);
            self.limit = limit;
            self.tokens = self.tokens.min(self.capacity());
        }
    }

    /// Lets additional tokens arrive at a constant rate until a time.
    #[must_use]
    pub const fn with_supplement(mut self, per_second: f64, until: BootInstant) -> Self {
        self.supplement = Supplement { per_second, until };
        self
    }

    /// Takes a token, and up to `prefetch` more while the bucket stays at least half full. Returns
    /// the number of tokens taken.
    pub fn take(&mut self, prefetch: u32, now: BootInstant) -> u32 {
        self.refill(now);
        if self.tokens < 1.0 {
            return 0;
        }
        let spare = (self.tokens - 1.0 - self.capacity() / 2.0).max(0.0);
        let taken = 1.0 + spare.floor().min(f64::from(prefetch));
        self.tokens -= taken;
        taken as u32
    }

    /// Returns the tokens that the bucket holds at `now`.
    #[must_use]
    pub fn tokens(&self, now: BootInstant) -> f64 {
        let arrived = self.tokens_in_span(self.refilled_at, now);
        (self.tokens + arrived).min(self.capacity())
    }

    /// Returns the time after which a refused request is likely to find a token. Each call
    /// schedules a later token, so that refused requests do not retry at the same time.
    pub fn schedule_retry(&mut self, now: BootInstant) -> Duration {
        let rate = self.limit.per_second.max(f64::MIN_POSITIVE);
        let until_first_token = (1.0 - self.tokens).max(0.0) / rate;
        let earliest =
            now + Duration::from_secs_f64(until_first_token.min(MAX_RETRY_AFTER.as_secs_f64()));
        let interval = Duration::from_secs_f64((1.0 / rate).min(MAX_RETRY_AFTER.as_secs_f64()));
        let latest = now + MAX_RETRY_AFTER;
        let retry_at = (self.retries_scheduled_until + interval).clamp(earliest, latest);
        self.retries_scheduled_until = retry_at;
        retry_at.saturating_duration_since(now).max(MIN_RETRY_AFTER)
    }

    /// Returns the number of tokens that arrive within a time.
    #[must_use]
    pub fn tokens_in(&self, duration: Duration, now: BootInstant) -> f64 {
        self.tokens_in_span(now, now + duration)
    }

    fn tokens_in_span(&self, from: BootInstant, to: BootInstant) -> f64 {
        let duration = to.saturating_duration_since(from);
        duration.as_secs_f64() * self.limit.per_second + self.supplement.between(from, to)
    }

    /// Returns at least 1, because a burst below one token would never admit a request.
    fn capacity(&self) -> f64 {
        self.limit.burst.max(1.0)
    }

    fn refill(&mut self, now: BootInstant) {
        self.tokens = self.tokens(now);
        self.refilled_at = self.refilled_at.max(now);
    }
}
