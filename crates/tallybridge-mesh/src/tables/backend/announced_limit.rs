//! The rate limit that the back end beside this node announces.
//!
//! Answers arrive in another order than the back end wrote them, so an answer that is about to lift the
//! limit may be older than the one that announced it. A lower rate therefore applies at once. A higher
//! rate, or none, applies only if its call was dispatched after the limit was last announced.

use tokio::time::Instant;

use super::announcement::AnnouncedRate;

/// How an announcement changed the limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitChange {
    /// The back end announces a limit, in requests per second, and announced none before.
    Began(f64),
    /// The back end announces another limit, in requests per second.
    Changed(f64),
    /// The back end no longer announces a limit.
    Ended,
}

#[derive(Debug, Clone, Copy)]
struct Limit {
    per_second: f64,
    began_at: Instant,
    /// When an answer last announced this limit.
    announced_at: Instant,
}

/// Rate limit of one incarnation of the back end.
#[derive(Debug, Default)]
pub struct AnnouncedLimit {
    limit: Option<Limit>,
    /// Whether this node has read an answer of the incarnation, which is newer than what peers remember.
    has_answered: bool,
}

impl AnnouncedLimit {
    /// Adopts a limit that peers remember from before this node started. Returns whether it applies: it
    /// does until an answer arrives. Of several, the lowest applies.
    pub fn adopt(&mut self, per_second: f64, now: Instant) -> bool {
        if self.has_answered || self.per_second().is_some_and(|rate| rate <= per_second) {
            return false;
        }
        self.limit = Some(Limit {
            per_second,
            began_at: now,
            announced_at: now,
        });
        true
    }

    /// Returns the limit in requests per second, or `None` if the back end announces none.
    #[must_use]
    pub fn per_second(&self) -> Option<f64> {
        self.limit.map(|limit| limit.per_second)
    }

    /// Returns when the back end began to announce a limit without interruption.
    #[must_use]
    pub fn began_at(&self) -> Option<Instant> {
        self.limit.map(|limit| limit.began_at)
    }

    /// Applies the rate in the answer to a call that was dispatched at `dispatched_at`.
    pub fn record(
        &mut self,
        rate: &AnnouncedRate,
        dispatched_at: Instant,
        now: Instant,
    ) -> Option<LimitChange> {
        self.has_answered = true;
        match *rate {
            AnnouncedRate::PerSecond(per_second) => {
                self.record_rate(per_second, dispatched_at, now)
            }
            AnnouncedRate::Unlimited => self.record_end(dispatched_at),
            AnnouncedRate::Malformed(_) => None,
        }
    }

    fn record_rate(
        &mut self,
        per_second: f64,
        dispatched_at: Instant,
        now: Instant,
    ) -> Option<LimitChange> {
        let Some(limit) = &mut self.limit else {
            self.limit = Some(Limit {
                per_second,
                began_at: now,
                announced_at: now,
            });
            return Some(LimitChange::Began(per_second));
        };
        if per_second > limit.per_second && dispatched_at < limit.announced_at {
            return None;
        }
        limit.announced_at = now;
        let previous = std::mem::replace(&mut limit.per_second, per_second);
        (previous != per_second).then_some(LimitChange::Changed(per_second))
    }

    fn record_end(&mut self, dispatched_at: Instant) -> Option<LimitChange> {
        let limit = self.limit?;
        if dispatched_at < limit.announced_at {
            return None;
        }
        self.limit = None;
        Some(LimitChange::Ended)
    }
}
