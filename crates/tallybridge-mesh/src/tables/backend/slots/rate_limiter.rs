//! Limits the rate of calls to the back end while it announces a rate limit.

use std::time::Duration;

use crate::{
    clock::BootInstant, configuration::tenants::RateLimit, protocol::Load,
    tables::quotas::TokenBucket,
};

/// Minimum rate in calls per second. Only an answer tells that a limit has ended, so a back end that
/// announces a lower rate, or none at all, still gets a call now and then.
const MIN_RATE: f64 = 0.25;
/// Calls that may follow each other at once after a pause, in seconds of the rate.
const BURST_SECONDS: f64 = 0.5;
/// Minimum burst in calls. Two of them make up for the ticks between which a token can lie unused.
const MIN_BURST: f64 = 2.0;
/// Upper bound of the offered load. Entries move a refused call to another back end, so each call may
/// count at several back ends.
const MAX_OFFERED_LOAD: f64 = 3.0;

/// Tokens for the calls to a back end, one for each call.
#[derive(Debug)]
pub(super) struct RateLimiter {
    /// Rate in calls per second, at least [`MIN_RATE`].
    per_second: f64,
    bucket: TokenBucket,
}

impl RateLimiter {
    /// Creates a limiter without tokens: the calls of the last seconds are not known.
    pub(super) fn new(per_second: f64, now: BootInstant) -> Self {
        let limit = rate_limit(per_second);
        Self {
            per_second: limit.per_second,
            bucket: TokenBucket::new(limit, 0.0, now),
        }
    }

    pub(super) fn set_rate(&mut self, per_second: f64, now: BootInstant) {
        let limit = rate_limit(per_second);
        self.per_second = limit.per_second;
        self.bucket.set_limit(limit, now);
    }

    /// Takes the token of one call. Returns whether there was one.
    pub(super) fn take(&mut self, now: BootInstant) -> bool {
        self.bucket.take(0, now) > 0
    }

    /// Returns the time until `calls` further calls have their tokens.
    pub(super) fn time_until(&self, calls: usize, now: BootInstant) -> Duration {
        let missing = calls as f64 - self.bucket.tokens(now);
        Duration::from_secs_f64(missing.max(0.0) / self.per_second)
    }

    /// Returns whether the next call has to wait for its token.
    pub(super) fn is_exhausted(&self, now: BootInstant) -> bool {
        !self.time_until(1, now).is_zero()
    }

    /// Returns the number of slots that calls at this rate hold on average, rounded up.
    pub(super) fn slots_in_use(&self, call_seconds: f64) -> u16 {
        (self.per_second * call_seconds).ceil().max(1.0) as u16
    }

    /// Returns the offered load at a rate of arrivals, in the unit of [`Load::offered`].
    pub(super) fn offered(&self, arrivals_per_second: f64) -> u16 {
        let offered = (arrivals_per_second / self.per_second).min(MAX_OFFERED_LOAD);
        Load::offered_to_wire(offered)
    }
}

fn rate_limit(announced_per_second: f64) -> RateLimit {
    let per_second = announced_per_second.max(MIN_RATE);
    RateLimit {
        per_second,
        burst: (per_second * BURST_SECONDS).max(MIN_BURST),
    }
}
