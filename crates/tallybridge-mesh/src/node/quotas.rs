//! What a node knows of tenants: whether their keys may have been taken away, and their limits.

use std::{sync::Arc, time::Duration};

use super::{Node, Tables};
use crate::{
    clock::BootInstant,
    configuration::tenants::Tenant,
    protocol::{EpochSpending, QuotaAsk, QuotaGrant},
    tables::{
        QuotaOwner,
        quotas::{EntryTokens, OwnedQuotas, QuotaSlack, TokenAnswer},
    },
};

/// Part of the time in which a key must stop working for which a node goes on without reading the
/// configuration. The rest covers the rounding of times that peers tell.
const REVOKE_PART: f64 = 0.85;

/// Longest time for which a node that has started tries to reach others before it is a home of tenants:
/// several times what it takes to open links to all.
const SETTLE: Duration = Duration::from_millis(1000);

/// Limits of tenants at one node.
pub(super) struct QuotaTables {
    held: EntryTokens,
    home: OwnedQuotas,
    /// Nodes that are reached, in one number.
    reached: u64,
    /// Since when the same nodes are reached, so that this node is the home of the same tenants.
    home_since: BootInstant,
    /// Since when most nodes are out of reach: others may have become the homes meanwhile.
    minority_since: Option<BootInstant>,
    /// Since when a node that has started knows others, or that there may be none.
    knows_since: Option<BootInstant>,
    /// Whether it has had time to reach those that it knows. Before that it would take itself for the
    /// home of every tenant, as would all others that start with it.
    is_settled: bool,
}

impl QuotaTables {
    pub(super) fn new(slack: QuotaSlack, now: BootInstant) -> Self {
        Self {
            held: EntryTokens::new(slack.window),
            home: OwnedQuotas::new(slack),
            reached: 0,
            home_since: now,
            minority_since: None,
            knows_since: None,
            is_settled: false,
        }
    }
}

impl Tables {
    /// Takes in which nodes are reached.
    pub(super) fn note_reached(&mut self, has_read_register: bool, now: BootInstant) {
        if !self.quota.is_settled {
            self.settle_homes(has_read_register, now);
        }
        let reached = self.peers.reached_fingerprint();
        if reached != self.quota.reached {
            self.quota.reached = reached;
            self.quota.home_since = now;
        }
        if self.peers.reaches_most() {
            self.quota.minority_since = None;
        } else {
            self.quota.minority_since.get_or_insert(now);
        }
        self.quota.held.forget_idle(now);
        self.quota.home.forget_idle(now);
    }

    /// A node that has started can be a home once it reaches most of the nodes in the register, or
    /// has tried to for a while.
    fn settle_homes(&mut self, has_read_register: bool, now: BootInstant) {
        let has_reached_most = self.peers.reaches_any() && self.peers.reaches_most();
        if has_read_register || self.peers.reaches_any() {
            self.quota.knows_since.get_or_insert(now);
        }
        let since = self.quota.knows_since;
        let has_tried = since.is_some_and(|since| now >= since + SETTLE);
        self.quota.is_settled = has_tried || (has_read_register && has_reached_most);
    }

    /// What was kept here counts as not kept until now: another node may have been the home meanwhile.
    pub(super) fn restart_quota_ownership(&mut self, now: BootInstant) {
        self.quota.home_since = now;
    }

    /// Whether this node can be the home of a tenant. One that has lost most others can't tell
    /// whether it is cut off, and they have chosen other homes, until the store is read by it or by
    /// a node that it still reaches.
    fn may_be_home(&self) -> bool {
        if !self.quota.is_settled {
            return false;
        }
        let since = self.quota.minority_since;
        since.is_none_or(|since| self.read_at.is_some_and(|read_at| read_at > since))
    }

    fn grant(&mut self, tenant: &Tenant, ask: QuotaAsk, now: BootInstant) -> QuotaGrant {
        if !self.may_be_home() {
            return QuotaGrant::NotOwner;
        }
        let since = self.quota.home_since;
        self.quota.home.grant(tenant, ask, since, now)
    }
}

impl Node {
    /// A time on this node's clock, in milliseconds since its process began; at least 1.
    #[must_use]
    pub fn clock_ms(&self, at: BootInstant) -> u64 {
        let elapsed = at.saturating_duration_since(self.began).as_millis();
        u64::try_from(elapsed).unwrap_or(u64::MAX).max(1)
    }

    /// Whether each key that was taken away so long ago that it must not work any more is known to
    /// be.
    #[must_use]
    pub fn knows_revocations(&self) -> bool {
        let Some(within_ms) = self.settings.tenants.revoke_within_ms else {
            return true;
        };
        let bound = Duration::from_millis(within_ms).mul_f64(REVOKE_PART);
        self.read_age().is_some_and(|age| age <= bound)
    }

    /// Time since the store was asked for the newest configuration that was read; `None` for never.
    #[must_use]
    pub fn read_age(&self) -> Option<Duration> {
        self.tables().read_at.map(|at| at.elapsed())
    }

    /// A request of a tenant has come: whether a token is there for it.
    #[must_use]
    pub fn take_held_token(&self, tenant: &Tenant) -> TokenAnswer {
        let held = &mut self.tables().quota.held;
        held.request(&tenant.name, BootInstant::now())
    }

    /// The home gave tokens, one of them for a request that is let in now.
    pub fn tokens_granted(&self, tenant: &Tenant, tokens: u32, fleet: &[EpochSpending]) {
        let held = &mut self.tables().quota.held;
        held.granted(&tenant.name, tokens, fleet, BootInstant::now());
    }

    /// Keeps tokens that were granted beyond the one that a request needs.
    pub fn keep_tokens(&self, tenant: &Tenant, tokens: u32) {
        let held = &mut self.tables().quota.held;
        held.keep(&tenant.name, tokens, BootInstant::now());
    }

    /// The home of a tenant told that it is at its limit.
    pub fn tenant_spent(&self, tenant: &Tenant, wait: Duration, fleet: &[EpochSpending]) {
        let held = &mut self.tables().quota.held;
        held.spent(&tenant.name, wait, fleet, BootInstant::now());
    }

    /// Where a tenant's limit is kept, as this node sees it.
    #[must_use]
    pub fn quota_owner(&self, tenant: &Tenant) -> QuotaOwner {
        self.tables().peers.quota_owner(&tenant.name)
    }

    /// Tokens of a tenant whose home this node is.
    #[must_use]
    pub fn grant_own(&self, tenant: &Tenant, ask: QuotaAsk) -> QuotaGrant {
        self.tables().grant(tenant, ask, BootInstant::now())
    }

    /// A token of one of so many equal parts of a tenant's limit.
    #[must_use]
    pub fn grant_part(&self, tenant: &Tenant, parts: usize, ask: QuotaAsk) -> QuotaGrant {
        let part = tenant.part(parts);
        // What the whole fleet let in says nothing of a part.
        let ask = QuotaAsk {
            ahead: 0,
            fleet: Vec::new(),
            ..ask
        };
        self.tables().grant(&part, ask, BootInstant::now())
    }

    /// Answers a peer that takes this node for the home of a tenant.
    #[must_use]
    pub fn grant_quota(&self, tenant: &[u8], ask: QuotaAsk) -> QuotaGrant {
        let Some(tenant) = self.tenant_named(tenant) else {
            return QuotaGrant::NotOwner;
        };
        if !matches!(self.quota_owner(&tenant), QuotaOwner::Local) {
            return QuotaGrant::NotOwner;
        }
        self.grant_own(&tenant, ask)
    }

    /// The tenant of a name by the configuration in force.
    #[must_use]
    pub fn tenant_named(&self, name: &[u8]) -> Option<Arc<Tenant>> {
        let configuration = self.configuration()?;
        let name = std::str::from_utf8(name).ok()?;
        configuration.tenants.as_ref()?.named(name).cloned()
    }
}
