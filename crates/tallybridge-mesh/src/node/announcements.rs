//! What the back end beside this node announces about itself in its answers.

use tokio::time::Instant;

use super::Node;
use crate::{
    log::rate_limit::LogRateLimit,
    tables::{AnnouncedRate, Announcement, Incarnation, LimitChange},
};

impl Node {
    /// Applies the announcement in the answer to a call that was dispatched to an incarnation of the
    /// back end at `dispatched_at`. Ignores an incarnation that has been replaced meanwhile.
    pub fn record_announcement(
        &self,
        incarnation: &Incarnation,
        announcement: &Announcement,
        attempt: &[u8],
        dispatched_at: Instant,
    ) {
        let now = Instant::now();
        let (limit_change, begins_to_leave) = {
            let mut tables = self.tables();
            if tables.instance.current() != Some(incarnation) {
                return;
            }
            let limit = &mut tables.announced_limit;
            let limit_change = limit.record(&announcement.rate, dispatched_at, now);
            if limit_change.is_some() {
                self.slots.set_rate_limit(limit.per_second());
            }
            let begins_to_leave = announcement.is_leaving && tables.instance.mark_leaving(now);
            (limit_change, begins_to_leave)
        };
        if let Some(change) = limit_change {
            log_limit_change(change, incarnation, attempt);
            if !matches!(change, LimitChange::Changed(_)) {
                self.publish();
            }
        }
        if let AnnouncedRate::Malformed(value) = &announcement.rate {
            log_malformed_rate(value, incarnation, attempt);
        }
        if begins_to_leave {
            let instance = incarnation.id();
            let attempt = String::from_utf8_lossy(attempt);
            tracing::info!(instance, %attempt, "back end announced in an answer that it leaves");
            self.instance_changed();
        }
    }

    /// Returns the rate limit that the back end announces, in requests per second, and when it began to
    /// announce one; `None` if it announces none.
    #[must_use]
    pub fn announced_limit(&self) -> Option<(f64, Instant)> {
        let limit = &self.tables().announced_limit;
        limit.per_second().zip(limit.began_at())
    }
}

fn log_limit_change(change: LimitChange, incarnation: &Incarnation, attempt: &[u8]) {
    static BEGAN: LogRateLimit = LogRateLimit::new();
    static CHANGED: LogRateLimit = LogRateLimit::new();
    static ENDED: LogRateLimit = LogRateLimit::new();
    let instance = incarnation.id();
    let attempt = String::from_utf8_lossy(attempt);
    match change {
        LimitChange::Began(per_second) => {
            if let Some(left_out) = BEGAN.admit() {
                tracing::warn!(instance, per_second, %attempt, left_out, "back end announced a rate limit");
            }
        }
        LimitChange::Changed(per_second) => {
            if let Some(left_out) = CHANGED.admit() {
                tracing::info!(instance, per_second, %attempt, left_out, "back end changed its rate limit");
            }
        }
        LimitChange::Ended => {
            if let Some(left_out) = ENDED.admit() {
                tracing::info!(instance, %attempt, left_out, "back end no longer announces a rate limit");
            }
        }
    }
}

fn log_malformed_rate(value: &str, incarnation: &Incarnation, attempt: &[u8]) {
    static MALFORMED: LogRateLimit = LogRateLimit::new();
    if let Some(left_out) = MALFORMED.admit() {
        let instance = incarnation.id();
        let attempt = String::from_utf8_lossy(attempt);
        tracing::warn!(
            instance, value, %attempt, left_out,
            "cannot read the rate limit that the back end announced; keeping the previous one"
        );
    }
}
