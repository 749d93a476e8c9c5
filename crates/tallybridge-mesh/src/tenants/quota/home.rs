//! The buckets of the tenants whose home this node is.

use std::{collections::HashMap, sync::Arc, time::Duration};

use super::{QuotaGrant, TokenBucket};
use crate::{
    clock::Moment,
    tenants::{RateLimit, Tenant},
};

/// Time without a question after which a bucket is forgotten. It is full again by then, or nearly.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Part of what is allowed beyond a limit that a new home begins with.
const FIRST_PART: f64 = 0.25;

/// A home that was not asked for this time before the nodes in reach changed may have been none meanwhile.
/// A tenant that matters for its limit asks several times in it.
const SHORTEST_BREAK: Duration = Duration::from_millis(150);

#[derive(Debug)]
struct HomeRow {
    bucket: TokenBucket,
    asked_at: Moment,
}

/// By how much the tenants' requests may exceed their limits over all nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaSlack {
    /// The span over which requests are counted.
    pub window: Duration,
    /// Share of the limit that they may exceed it by.
    pub overage: f64,
    /// Requests on top.
    pub requests: f64,
}

impl QuotaSlack {
    /// Tokens that a home begins with that knows nothing of the one before it. A tenant may get a new
    /// home several times within a window, as when machines are replaced, and for a moment nodes may
    /// take two for it: a quarter of what is allowed beyond the limit covers three changes with room
    /// for that, even if the bucket had just been emptied each time. With an empty bucket a loss of all
    /// nodes would be followed by refusals of tenants that were within their limits.
    fn first_level(self, limit: RateLimit) -> f64 {
        let allowed = limit.per_second * self.window.as_secs_f64() + limit.burst;
        (allowed * self.overage + self.requests) * FIRST_PART
    }
}

/// Buckets of tenants, by name.
#[derive(Debug)]
pub struct QuotaHome {
    rows: HashMap<Arc<str>, HomeRow>,
    slack: QuotaSlack,
}

impl QuotaHome {
    /// No buckets yet.
    #[must_use]
    pub fn new(slack: QuotaSlack) -> Self {
        Self {
            rows: HashMap::new(),
            slack,
        }
    }

    /// Gives a tenant a token, and up to `ahead` more if it is far from its limit. A bucket that this
    /// node has not kept so far, or not without a break, begins at `since`: before that another node may
    /// have been the tenant's home.
    pub fn grant(&mut self, tenant: &Tenant, ahead: u32, since: Moment, now: Moment) -> QuotaGrant {
        let Some(limit) = tenant.limit else {
            return QuotaGrant::Tokens(1 + ahead);
        };
        let level = self.slack.first_level(limit);
        let row = self.rows.entry(tenant.name.clone());
        let row = row.or_insert_with(|| HomeRow {
            bucket: TokenBucket::new(limit, level, since),
            asked_at: now,
        });
        // It was the home of the tenant without a break only if it was asked until then. What came to the
        // bucket in a break may have been given out by another home.
        let break_length = since.saturating_duration_since(row.asked_at);
        if break_length >= SHORTEST_BREAK {
            row.bucket.begin_anew(level, since);
        }
        row.asked_at = now;
        row.bucket.set_limit(limit, now);
        match row.bucket.take(ahead, now) {
            0 => QuotaGrant::Spent(row.bucket.promise(now)),
            tokens => QuotaGrant::Tokens(tokens),
        }
    }

    /// Forgets buckets that nobody has asked for.
    pub fn forget_idle(&mut self, now: Moment) {
        self.rows
            .retain(|_, row| now.saturating_duration_since(row.asked_at) < FORGET_AFTER);
    }
}
