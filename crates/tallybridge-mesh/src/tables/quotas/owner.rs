//! Token buckets of the tenants that this node owns.

use std::{collections::HashMap, sync::Arc, time::Duration};

use super::{
    QuotaSlack, TokenBucket,
    epochs::FleetSpending,
    spending::ReportedSpending,
    waiting::{MAX_TOKEN_WAIT, WaitingRequests},
};
use crate::protocol::{QuotaGrant, QuotaRequest};
use crate::{
    clock::BootInstant,
    configuration::tenants::{RateLimit, Tenant},
};

/// Time without a request after which a bucket is dropped.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Minimum time between the last request and a change of the reachable nodes in which another node may
/// have been the owner. Each entry of a tenant at its limit sends a request every 50 ms.
const MIN_OWNERSHIP_GAP: Duration = Duration::from_millis(150);

/// Time for which a new owner collects reports of earlier grants before its first grant. It must be
/// longer than the 50 ms after which entries of a tenant at its limit request tokens again; otherwise
/// each new owner would grant tokens in addition to a full window.
const REPORT_COLLECTION_TIME: Duration = Duration::from_millis(55);

/// Time after the first request in which requests wait for tokens of a new owner. A tenant that is within
/// its limit then finds tokens in the bucket.
const WAIT_PERIOD: Duration = Duration::from_secs(2);

/// Fraction of the window after which to retry when the window is full.
const FULL_WINDOW_RETRY_FRACTION: f64 = 0.1;

/// Buckets of the tenants that this node owns or has owned.
#[derive(Debug)]
pub struct OwnedQuotas {
    quotas: HashMap<Arc<str>, OwnedQuota>,
    slack: QuotaSlack,
}

impl OwnedQuotas {
    /// Creates an empty table.
    #[must_use]
    pub fn new(slack: QuotaSlack) -> Self {
        Self {
            quotas: HashMap::new(),
            slack,
        }
    }

    /// Grants a token, and up to [`QuotaRequest::extra_tokens`] more if the tenant is far from its limit.
    /// `since` is the start of the current ownership ([`Ownership::since`]).
    ///
    /// [`Ownership::since`]: super::Ownership::since
    pub fn grant(
        &mut self,
        tenant: &Tenant,
        request: QuotaRequest,
        since: BootInstant,
        now: BootInstant,
    ) -> QuotaGrant {
        let Some(limit) = tenant.limit else {
            return QuotaGrant::Tokens {
                tokens: 1 + request.extra_tokens,
                spending: Vec::new(),
            };
        };
        let slack = self.slack;
        let quota = self.quotas.entry(tenant.name.clone());
        let quota = quota.or_insert_with(|| OwnedQuota::new(limit, slack, since, now));
        quota.start_epoch_after_gap(limit, slack, since, now);
        quota.last_request_at = now;
        quota.bucket.set_limit(limit, now);
        quota.fleet_spending.merge(&request.spending, now);
        let reported_total = quota.reported.record_report(&request, slack.window, now);
        let may_have_predecessor = now.saturating_duration_since(since) < slack.window;
        if quota.is_collecting_reports(may_have_predecessor, reported_total, now) {
            return QuotaGrant::NotOwner;
        }
        let window_total = reported_total.max(quota.fleet_spending.in_window(now).into());
        if window_total + 1.0 > slack.max_in_window(limit) {
            return quota.refuse(slack.window.mul_f64(FULL_WINDOW_RETRY_FRACTION), now);
        }
        quota.grant(&request, now)
    }

    /// Returns the id of the current epoch of a tenant, which entries and logs name; `None` if this node has
    /// no bucket of the tenant.
    #[must_use]
    pub fn epoch(&self, tenant: &str) -> Option<u32> {
        self.quotas.get(tenant).map(|quota| quota.epoch)
    }

    /// Drops buckets that no entry has requested tokens from recently.
    pub fn forget_idle(&mut self, now: BootInstant) {
        self.quotas
            .retain(|_, quota| now.saturating_duration_since(quota.last_request_at) < IDLE_TIMEOUT);
    }
}

/// Returns the bucket of a new owner, which is empty: earlier owners may have granted all tokens.
fn new_bucket(limit: RateLimit, slack: QuotaSlack, since: BootInstant) -> TokenBucket {
    let bucket = TokenBucket::new(limit, 0.0, since);
    bucket.with_supplement(slack.new_owner_supplement(limit), since + slack.window)
}

/// State of one tenant at its owner.
#[derive(Debug)]
struct OwnedQuota {
    bucket: TokenBucket,
    last_request_at: BootInstant,
    /// Requests that each entry reported as admitted.
    reported: ReportedSpending,
    /// Grants of all owners, including this node.
    fleet_spending: FleetSpending,
    /// Requests that wait for a token of this new owner.
    waiting: WaitingRequests,
    /// Random number of the current epoch.
    epoch: u32,
    epoch_started_at: BootInstant,
}

impl OwnedQuota {
    /// Creates a bucket that accumulates tokens from `since` on, because another node may have been
    /// the owner before.
    fn new(limit: RateLimit, slack: QuotaSlack, since: BootInstant, now: BootInstant) -> Self {
        Self {
            bucket: new_bucket(limit, slack, since),
            last_request_at: now,
            reported: ReportedSpending::default(),
            fleet_spending: FleetSpending::new(slack.window),
            waiting: WaitingRequests::default(),
            epoch: rand::random(),
            epoch_started_at: now,
        }
    }

    /// Starts a new epoch if another node may have been the owner before `since`. The tokens that
    /// arrived in the meantime are discarded, because the other owner may have granted them.
    fn start_epoch_after_gap(
        &mut self,
        limit: RateLimit,
        slack: QuotaSlack,
        since: BootInstant,
        now: BootInstant,
    ) {
        let gap = since.saturating_duration_since(self.last_request_at);
        if gap >= MIN_OWNERSHIP_GAP {
            self.bucket = new_bucket(limit, slack, since);
            self.reported = ReportedSpending::default();
            self.epoch = rand::random();
            self.epoch_started_at = now;
        }
    }

    /// Returns whether to wait for reports of earlier grants. `may_have_predecessor` is true if
    /// another node may have been the owner within the window.
    fn is_collecting_reports(
        &mut self,
        may_have_predecessor: bool,
        reported_total: f64,
        now: BootInstant,
    ) -> bool {
        let is_new_epoch =
            now.saturating_duration_since(self.epoch_started_at) < REPORT_COLLECTION_TIME;
        is_new_epoch
            && (may_have_predecessor
                || reported_total > 0.0
                || self.fleet_spending.in_window_except(self.epoch, now) > 0)
    }

    /// Returns whether a request of an entry waits for a token of a new owner instead of being refused.
    fn may_wait_for_token(&mut self, entry: u64, now: BootInstant) -> bool {
        let is_new_owner = now.saturating_duration_since(self.epoch_started_at) < WAIT_PERIOD;
        let arriving_tokens = self.bucket.tokens_in(MAX_TOKEN_WAIT, now);
        is_new_owner && self.waiting.admit(entry, arriving_tokens, now)
    }

    fn refuse(&mut self, wait: Duration, now: BootInstant) -> QuotaGrant {
        let spending = self.fleet_spending.report(now);
        QuotaGrant::Exhausted { wait, spending }
    }

    fn grant(&mut self, request: &QuotaRequest, now: BootInstant) -> QuotaGrant {
        let tokens = self.bucket.take(request.extra_tokens, now);
        if tokens == 0 && self.may_wait_for_token(request.entry, now) {
            return QuotaGrant::NotOwner;
        }
        if tokens == 0 {
            let wait = self.bucket.schedule_retry(now);
            return self.refuse(wait, now);
        }
        self.waiting.remove(request.entry, now);
        self.reported.add_grant(request.entry, tokens);
        self.fleet_spending.record_grant(self.epoch, tokens, now);
        let spending = self.fleet_spending.report(now);
        QuotaGrant::Tokens { tokens, spending }
    }
}
