//! The buckets of the tenants whose home this node is.

use std::{collections::HashMap, sync::Arc, time::Duration};

use super::{TokenBucket, epochs::FleetSpending, spending::ReportedSpending};
use crate::protocol::{QuotaAsk, QuotaGrant};
use crate::{
    clock::BootInstant,
    configuration::tenants::{RateLimit, Tenant},
};

/// Time without a question after which a bucket is forgotten. It is full again by then, or nearly.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Part of what is allowed beyond a limit that a new home begins with.
const FIRST_PART: f64 = 0.25;

/// A home that was not asked for this time before the nodes in reach changed may have been none meanwhile.
/// A tenant that matters for its limit asks several times in it.
const SHORTEST_BREAK: Duration = Duration::from_millis(150);

/// Part of what is allowed beyond a limit up to which a window is filled. The rest covers what entries have
/// let in and not told yet, and the parts in which they count.
const MOST_PART: f64 = 0.25;
/// Time in which entries tell a new home what they let in before it gives out anything, if any let in some: they ask again after 30 ms, so that requests wait and none is refused.
const GATHER: Duration = Duration::from_millis(55);
/// Part of the window after which to come back when it is full.
const FULL_WAIT: f64 = 0.1;

#[derive(Debug)]
struct HomeRow {
    bucket: TokenBucket,
    asked_at: BootInstant,
    told: ReportedSpending,
    /// What homes gave out, as entries passed it on and as this one did.
    fleet: FleetSpending,
    /// This life of the home: since it has been one without a break.
    life: u32,
    /// Since when this node has been the home without a break.
    began: BootInstant,
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
        self.beyond(limit) * FIRST_PART
    }

    /// Requests that a window may hold by the limit itself.
    fn by_limit(self, limit: RateLimit) -> f64 {
        limit.per_second * self.window.as_secs_f64() + limit.burst
    }

    /// Requests that users allow beyond that.
    fn beyond(self, limit: RateLimit) -> f64 {
        self.by_limit(limit) * self.overage + self.requests
    }

    /// Requests within a window from which on a home gives out none, whatever its bucket holds.
    fn most_in_window(self, limit: RateLimit) -> f64 {
        self.by_limit(limit) + self.beyond(limit) * MOST_PART
    }
}

/// Buckets of tenants, by name.
#[derive(Debug)]
pub struct OwnedQuotas {
    rows: HashMap<Arc<str>, HomeRow>,
    slack: QuotaSlack,
}

impl OwnedQuotas {
    /// No buckets yet.
    #[must_use]
    pub fn new(slack: QuotaSlack) -> Self {
        Self {
            rows: HashMap::new(),
            slack,
        }
    }

    /// Gives a tenant a token, and up to `ahead` more if it is far from its limit. As long as it does not know
    /// what was given out before, it says that it is not the home. A bucket that this
    /// node has not kept so far, or not without a break, begins at `since`: before that another node may
    /// have been the tenant's home.
    pub fn grant(
        &mut self,
        tenant: &Tenant,
        ask: QuotaAsk,
        since: BootInstant,
        now: BootInstant,
    ) -> QuotaGrant {
        let Some(limit) = tenant.limit else {
            return QuotaGrant::Tokens {
                tokens: 1 + ask.ahead,
                fleet: Vec::new(),
            };
        };
        let window = self.slack.window;
        let level = self.slack.first_level(limit);
        let row = self.rows.entry(tenant.name.clone());
        let row = row.or_insert_with(|| HomeRow {
            bucket: TokenBucket::new(limit, level, since),
            asked_at: now,
            told: ReportedSpending::default(),
            fleet: FleetSpending::new(window),
            life: rand::random(),
            began: now,
        });
        // It was the home of the tenant without a break only if it was asked until then. What came to the
        // bucket in a break may have been given out by another home.
        let break_length = since.saturating_duration_since(row.asked_at);
        if break_length >= SHORTEST_BREAK {
            row.bucket.begin_anew(level, since);
            row.told = ReportedSpending::default();
            row.life = rand::random();
            row.began = now;
        }
        row.asked_at = now;
        row.bucket.set_limit(limit, now);
        row.fleet.hear(&ask.fleet, now);
        let told = row.told.tell(&ask, window, now);
        let spent = told.max(row.fleet.within(now).into());
        let is_new = now.saturating_duration_since(row.began) < GATHER;
        let knows_earlier = told > 0.0 || row.fleet.within_but(row.life, now) > 0;
        if is_new && knows_earlier {
            return QuotaGrant::NotOwner;
        }
        if spent + 1.0 > self.slack.most_in_window(limit) {
            let wait = window.mul_f64(FULL_WAIT);
            let fleet = row.fleet.tell(now);
            return QuotaGrant::Spent { wait, fleet };
        }
        match row.bucket.take(ask.ahead, now) {
            0 => {
                let wait = row.bucket.promise(now);
                let fleet = row.fleet.tell(now);
                QuotaGrant::Spent { wait, fleet }
            }
            tokens => {
                row.told.gave(ask.entry, tokens);
                row.fleet.add(row.life, tokens, now);
                let fleet = row.fleet.tell(now);
                QuotaGrant::Tokens { tokens, fleet }
            }
        }
    }

    /// Forgets buckets that nobody has asked for.
    pub fn forget_idle(&mut self, now: BootInstant) {
        self.rows
            .retain(|_, row| now.saturating_duration_since(row.asked_at) < FORGET_AFTER);
    }
}
