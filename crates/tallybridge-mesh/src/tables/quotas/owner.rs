//! The buckets of the tenants that this node owns: who is given a token.

use std::{collections::HashMap, sync::Arc, time::Duration};

use super::{QuotaSlack, TokenBucket, epochs::FleetSpending, spending::ReportedSpending};
use crate::protocol::{QuotaGrant, QuotaRequest};
use crate::{
    clock::BootInstant,
    configuration::tenants::{RateLimit, Tenant},
};

/// Time without an ask after which a bucket is forgotten: it is full again by then, or nearly.
/// Origin of the figure not recorded.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// An owner that was not asked for this time before the nodes in reach changed may have lost the
/// role meanwhile. A tenant at its limit is asked for by each of its entries every 50 ms, so
/// several times in it.
const SHORTEST_BREAK: Duration = Duration::from_millis(150);

/// Time for which a new owner gives nothing, if another node may have granted tokens within the window:
/// longer than the 50 ms after which entries at the limit ask again, so that they have reported to it. An
/// entry that has just started knows of no grants and has nothing to wait for, so it asks first; a token
/// for it at once is one for each new owner on top of a full window (54 requests of 53 allowed with an owner
/// each 0.2 s, 52 to 54 of 40 with one each 0.13 s). Entries that are turned away ask again after 30 ms, so
/// that their requests wait and none is refused.
const GATHER: Duration = Duration::from_millis(55);

/// Part of the window after which to come back when the window is full. Origin not recorded.
const FULL_WAIT: f64 = 0.1;

/// Buckets of the tenants that this node owns or owned, by name.
#[derive(Debug)]
pub struct OwnedQuotas {
    rows: HashMap<Arc<str>, OwnedRow>,
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

    /// Gives a tenant a token, and up to [`QuotaRequest::extra_tokens`] more if it is far from its limit.
    /// `since` is when this node became the owner at the latest ([`Ownership::since`]).
    ///
    /// [`Ownership::since`]: super::Ownership::since
    pub fn grant(
        &mut self,
        tenant: &Tenant,
        ask: QuotaRequest,
        since: BootInstant,
        now: BootInstant,
    ) -> QuotaGrant {
        let Some(limit) = tenant.limit else {
            return QuotaGrant::Tokens {
                tokens: 1 + ask.extra_tokens,
                spending: Vec::new(),
            };
        };
        let slack = self.slack;
        let row = self.rows.entry(tenant.name.clone());
        let row = row.or_insert_with(|| OwnedRow::new(limit, slack, since, now));
        row.restart_after_break(slack.first_level(limit), since, now);
        row.asked_at = now;
        row.bucket.set_limit(limit, now);
        row.fleet.merge(&ask.spending, now);
        let reported = row.reported.report(&ask, slack.window, now);
        let may_have_followed = now.saturating_duration_since(since) < slack.window;
        if row.is_gathering(may_have_followed, reported, now) {
            return QuotaGrant::NotOwner;
        }
        let in_window = reported.max(row.fleet.within(now).into());
        if in_window + 1.0 > slack.most_in_window(limit) {
            return row.refuse(slack.window.mul_f64(FULL_WAIT), now);
        }
        row.grant(&ask, now)
    }

    /// Forgets buckets that nobody has asked for.
    pub fn forget_idle(&mut self, now: BootInstant) {
        self.rows
            .retain(|_, row| now.saturating_duration_since(row.asked_at) < FORGET_AFTER);
    }
}

/// One tenant at its owner.
#[derive(Debug)]
struct OwnedRow {
    bucket: TokenBucket,
    asked_at: BootInstant,
    /// What entries admitted, as each reported it.
    reported: ReportedSpending,
    /// What owners granted, as entries passed it on and as this one did.
    fleet: FleetSpending,
    /// The number of this epoch: the time since this node is the owner without a break.
    epoch: u32,
    epoch_began: BootInstant,
}

impl OwnedRow {
    /// A row that begins at `since`: before that another node may have been the owner.
    fn new(limit: RateLimit, slack: QuotaSlack, since: BootInstant, now: BootInstant) -> Self {
        Self {
            bucket: TokenBucket::new(limit, slack.first_level(limit), since),
            asked_at: now,
            reported: ReportedSpending::default(),
            fleet: FleetSpending::new(slack.window),
            epoch: rand::random(),
            epoch_began: now,
        }
    }

    /// Begins a new epoch if the node may not have been the owner for a while before `since`: what came to
    /// the bucket meanwhile may have been granted by another owner.
    fn restart_after_break(&mut self, first_level: f64, since: BootInstant, now: BootInstant) {
        let break_length = since.saturating_duration_since(self.asked_at);
        if break_length >= SHORTEST_BREAK {
            self.bucket.restart(first_level, since);
            self.reported = ReportedSpending::default();
            self.epoch = rand::random();
            self.epoch_began = now;
        }
    }

    /// Whether entries have yet to report what others granted before this epoch. Another node may have
    /// been the owner within the window (`may_have_followed`), though nobody has said so yet.
    fn is_gathering(&mut self, may_have_followed: bool, reported: f64, now: BootInstant) -> bool {
        let is_new = now.saturating_duration_since(self.epoch_began) < GATHER;
        is_new
            && (may_have_followed
                || reported > 0.0
                || self.fleet.within_except(self.epoch, now) > 0)
    }

    fn refuse(&mut self, wait: Duration, now: BootInstant) -> QuotaGrant {
        let fleet = self.fleet.report(now);
        QuotaGrant::Exhausted {
            wait,
            spending: fleet,
        }
    }

    fn grant(&mut self, ask: &QuotaRequest, now: BootInstant) -> QuotaGrant {
        let tokens = self.bucket.take(ask.extra_tokens, now);
        if tokens == 0 {
            let wait = self.bucket.promise(now);
            return self.refuse(wait, now);
        }
        self.reported.granted(ask.entry, tokens);
        self.fleet.add(self.epoch, tokens, now);
        let fleet = self.fleet.report(now);
        QuotaGrant::Tokens {
            tokens,
            spending: fleet,
        }
    }
}
