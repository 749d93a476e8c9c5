//! Rate limits of tenants at a node, which is their entry and may be their owner. The rule:
//! [`tables::quotas`](crate::tables::quotas).

use std::{sync::Arc, time::Duration};

use super::{Node, Tables};
use crate::{
    clock::BootInstant,
    configuration::tenants::Tenant,
    protocol::{EpochSpending, QuotaGrant, QuotaRequest},
    tables::{
        QuotaOwner,
        quotas::{EntryTokens, OwnedQuotas, Ownership, QuotaSlack, Reach, TokenAnswer},
    },
};

/// Limits of tenants at one node, as an entry and as an owner.
pub(super) struct QuotaTables {
    entry: EntryTokens,
    owned: OwnedQuotas,
    ownership: Ownership,
}

impl QuotaTables {
    pub(super) fn new(slack: QuotaSlack, now: BootInstant) -> Self {
        Self {
            entry: EntryTokens::new(slack.window),
            owned: OwnedQuotas::new(slack),
            ownership: Ownership::new(now),
        }
    }
}

impl Tables {
    /// Takes note of which nodes are in reach, and forgets tenants that send nothing.
    pub(super) fn note_reached(&mut self, has_read_registry: bool, now: BootInstant) {
        let reach = Reach {
            fingerprint: self.peers.reached_fingerprint(),
            reaches_any: self.peers.reaches_any(),
            reaches_most: self.peers.reaches_most(),
            has_read_registry,
        };
        self.quota.ownership.note_reach(reach, now);
        self.quota.entry.forget_idle(now);
        self.quota.owned.forget_idle(now);
    }

    /// This process was paused: another node may have owned its tenants until now.
    pub(super) fn restart_quota_ownership(&mut self, now: BootInstant) {
        self.quota.ownership.restart(now);
    }

    fn grant(&mut self, tenant: &Tenant, ask: QuotaRequest, now: BootInstant) -> QuotaGrant {
        if !self.quota.ownership.may_own(self.configuration.read_at()) {
            return QuotaGrant::NotOwner;
        }
        let since = self.quota.ownership.since();
        self.quota.owned.grant(tenant, ask, since, now)
    }
}

impl Node {
    /// A request of a tenant has come to this entry: whether a token is there for it.
    #[must_use]
    pub fn take_held_token(&self, tenant: &Tenant) -> TokenAnswer {
        let entry = &mut self.tables().quota.entry;
        entry.take_token(&tenant.name, BootInstant::now())
    }

    /// The owner granted tokens, one of them for a request that is admitted now.
    pub fn tokens_granted(&self, tenant: &Tenant, tokens: u32, fleet: &[EpochSpending]) {
        let entry = &mut self.tables().quota.entry;
        entry.record_grant(&tenant.name, tokens, fleet, BootInstant::now());
    }

    /// Keeps tokens that were granted and not used.
    pub fn keep_tokens(&self, tenant: &Tenant, tokens: u32) {
        let entry = &mut self.tables().quota.entry;
        entry.store_tokens(&tenant.name, tokens, BootInstant::now());
    }

    /// The owner answered that the tenant is at its limit.
    pub fn tenant_spent(&self, tenant: &Tenant, wait: Duration, fleet: &[EpochSpending]) {
        let entry = &mut self.tables().quota.entry;
        entry.record_limit_reached(&tenant.name, wait, fleet, BootInstant::now());
    }

    /// The owner of a tenant's limit by the nodes that this one reaches.
    #[must_use]
    pub fn quota_owner(&self, tenant: &Tenant) -> QuotaOwner {
        self.tables().peers.quota_owner(&tenant.name)
    }

    /// Grants tokens as the owner of a tenant.
    #[must_use]
    pub fn grant_own(&self, tenant: &Tenant, ask: QuotaRequest) -> QuotaGrant {
        self.tables().grant(tenant, ask, BootInstant::now())
    }

    /// Grants a token of one of `parts` equal parts of a tenant's limit.
    #[must_use]
    pub fn grant_part(&self, tenant: &Tenant, parts: usize, ask: QuotaRequest) -> QuotaGrant {
        let part = tenant.with_divided_limit(parts);
        // What the fleet granted of the limit says nothing of a part of it.
        let ask = QuotaRequest {
            extra_tokens: 0,
            spending: Vec::new(),
            ..ask
        };
        self.tables().grant(&part, ask, BootInstant::now())
    }

    /// Answers a peer that takes this node for the owner of a tenant.
    #[must_use]
    pub fn grant_quota(&self, tenant: &[u8], ask: QuotaRequest) -> QuotaGrant {
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
        // A name that is no text is no tenant's.
        let name = std::str::from_utf8(name).ok()?;
        configuration
            .tenants
            .as_ref()?
            .tenant_by_name(name)
            .cloned()
    }
}
