//! What the back end beside this node announces about itself in its answers.

use std::net::SocketAddr;

use tokio::time::Instant;

use super::{Node, Tables};
use crate::{
    log::rate_limit::LogRateLimit,
    protocol::BackendNotice,
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

    /// Applies the announcement in the answer to a health check of an instance. A health check that names
    /// no rate limit does not end one, because it may not name one at all.
    pub fn record_health_announcement(&self, instance: &str, announcement: &Announcement) {
        if announcement.rate == AnnouncedRate::Unlimited && !announcement.is_leaving {
            return;
        }
        let current = self.tables().instance.current().cloned();
        let Some(incarnation) = current.filter(|current| current.id() == instance) else {
            return;
        };
        self.record_announcement(&incarnation, announcement, b"", Instant::now());
    }

    /// Returns what the back end announces, for the entries that pass its answers on; `None` if it
    /// announces nothing.
    #[must_use]
    pub fn backend_notice(&self) -> Option<BackendNotice> {
        let tables = self.tables();
        let instance = &tables.instance;
        let rate_limit = tables.announced_limit.per_second();
        // The state may also be `Leaving` because of a late notice of an earlier incarnation.
        let is_leaving = instance.is_leaving(Instant::now());
        if rate_limit.is_none() && !is_leaving {
            return None;
        }
        Some(BackendNotice {
            instance: instance.current()?.id().to_owned(),
            started_at_ms: instance.started_at_ms(),
            rate_limit,
            is_leaving,
        })
    }

    /// Records what the back end of an executor announced before its answer.
    pub fn peer_backend_notice(&self, executor: SocketAddr, notice: BackendNotice) {
        let now = Instant::now();
        self.tables().notices.record(executor, notice, now);
    }

    /// Returns what the back end of an executor announced, to be sent to a new process of the executor.
    #[must_use]
    pub fn notice_for(&self, executor: SocketAddr) -> Option<BackendNotice> {
        self.tables().notices.of(executor, Instant::now())
    }

    /// Applies what a peer remembers of the back end beside this node, or keeps it until a health check
    /// verifies that back end.
    pub fn recall_backend_notice(&self, notice: BackendNotice) {
        let begins_to_leave = {
            let mut tables = self.tables();
            let current = tables.instance.current();
            if current.is_none_or(|current| current.id() != notice.instance) {
                tables.earlier_notices.record(notice);
                return;
            }
            self.apply_earlier_notice(&mut tables, &notice)
        };
        if begins_to_leave {
            self.instance_changed();
        }
    }

    /// Applies what peers remember of the current incarnation. Returns whether it begins to leave.
    pub(super) fn apply_earlier_notices(&self, tables: &mut Tables) -> bool {
        let Some(current) = tables.instance.current() else {
            return false;
        };
        let notices = tables.earlier_notices.take(current.id());
        let mut begins_to_leave = false;
        for notice in notices {
            begins_to_leave |= self.apply_earlier_notice(tables, &notice);
        }
        begins_to_leave
    }

    fn apply_earlier_notice(&self, tables: &mut Tables, notice: &BackendNotice) -> bool {
        let now = Instant::now();
        let start_times = notice.started_at_ms.zip(tables.instance.started_at_ms());
        if start_times.is_some_and(|(noticed, current)| noticed != current) {
            return false;
        }
        let instance = &notice.instance;
        if let Some(per_second) = notice.rate_limit
            && tables.announced_limit.adopt(per_second, now)
        {
            self.slots.set_rate_limit(Some(per_second));
            tracing::info!(
                instance,
                per_second,
                "adopted the rate limit of the back end that a peer remembers"
            );
        }
        let begins_to_leave = notice.is_leaving
            && tables
                .instance
                .record_departure(instance, notice.started_at_ms, now);
        if begins_to_leave {
            tracing::info!(instance, "a peer remembers that the back end leaves");
        }
        begins_to_leave
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
