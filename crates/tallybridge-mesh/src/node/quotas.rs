//! Rate limits of tenants at one node, both as the entry of requests and as the owner of quotas.
//!
//! [`tables::quotas`](crate::tables::quotas) defines the rule.

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

/// The quota state of one node.
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
    /// Updates the ownership of quotas from the nodes in reach, and removes idle tenants.
    pub(super) fn update_quotas(&mut self, has_read_registry: bool, now: BootInstant) {
        self.record_reach(has_read_registry, now);
        self.quota.entry.forget_idle(now);
        self.quota.owned.forget_idle(now);
    }

    /// Restarts the ownership of quotas after a pause of this process, during which another node
    /// may have been the owner.
    pub(super) fn restart_quota_ownership(&mut self, now: BootInstant) {
        self.quota.ownership.restart(now);
    }

    fn record_reach(&mut self, has_read_registry: bool, now: BootInstant) {
        let reach = Reach {
            fingerprint: self.peers.candidates_fingerprint(),
            reaches_any: self.peers.reaches_any(),
            reaches_most: self.peers.reaches_most(),
            has_read_registry,
        };
        self.quota.ownership.record_reach(reach, now);
    }

    fn grant(
        &mut self,
        tenant: &Tenant,
        request: QuotaRequest,
        has_read_registry: bool,
        now: BootInstant,
    ) -> QuotaGrant {
        // The link to the previous owner may have closed since the last tick.
        self.record_reach(has_read_registry, now);
        if !self.quota.ownership.may_own(self.configuration.read_at()) {
            return QuotaGrant::NotOwner;
        }
        let owner_since = self.quota.ownership.since();
        let entry = request.entry;
        let grant = self.quota.owned.grant(tenant, request, owner_since, now);
        if let QuotaGrant::Tokens { tokens, .. } = &grant {
            let epoch = self.quota.owned.epoch(&tenant.name);
            let owned_ms = now.saturating_duration_since(owner_since).as_millis() as u64;
            tracing::debug!(tenant = %tenant.name, epoch, entry, tokens, owned_ms, "granted tokens");
        }
        grant
    }
}

impl Node {
    /// Takes a token that this entry holds, for a new request of a tenant. Without one, returns
    /// whether to request tokens from the owner or to refuse the request.
    #[must_use]
    pub fn take_held_token(&self, tenant: &Tenant) -> TokenAnswer {
        let entry = &mut self.tables().quota.entry;
        entry.take_token(&tenant.name, BootInstant::now())
    }

    /// Records tokens granted by the owner, one of which the current request uses. `spending` holds
    /// the grants of all owners within the last window.
    pub fn tokens_granted(&self, tenant: &Tenant, tokens: u32, spending: &[EpochSpending]) {
        let entry = &mut self.tables().quota.entry;
        entry.record_grant(&tenant.name, tokens, spending, BootInstant::now());
    }

    /// Keeps granted tokens that were not used, for later requests of the tenant.
    pub fn keep_tokens(&self, tenant: &Tenant, tokens: u32) {
        let entry = &mut self.tables().quota.entry;
        entry.store_tokens(&tenant.name, tokens, BootInstant::now());
    }

    /// Records that the owner refused a token because the tenant is at its limit. `wait` is the time
    /// until a token is likely to be available.
    pub fn tenant_at_limit(&self, tenant: &Tenant, wait: Duration, spending: &[EpochSpending]) {
        let entry = &mut self.tables().quota.entry;
        entry.record_limit_reached(&tenant.name, wait, spending, BootInstant::now());
    }

    /// Returns the owner of a tenant's quota, chosen among the nodes that this node reaches.
    #[must_use]
    pub fn quota_owner(&self, tenant: &Tenant) -> QuotaOwner {
        self.tables().peers.quota_owner(&tenant.name)
    }

    /// Grants tokens as the owner of a tenant's quota.
    #[must_use]
    pub fn grant_as_owner(&self, tenant: &Tenant, request: QuotaRequest) -> QuotaGrant {
        let has_read_registry = self.has_read_registry();
        let mut tables = self.tables();
        tables.grant(tenant, request, has_read_registry, BootInstant::now())
    }

    /// Grants a token from this node's share of a tenant's limit, which is divided into `parts`
    /// equal shares.
    #[must_use]
    pub fn grant_share(&self, tenant: &Tenant, parts: usize, request: QuotaRequest) -> QuotaGrant {
        let share = tenant.with_divided_limit(parts);
        // Grants from the whole limit must not count against one share of it.
        let request = QuotaRequest {
            extra_tokens: 0,
            spending: Vec::new(),
            ..request
        };
        let has_read_registry = self.has_read_registry();
        let mut tables = self.tables();
        tables.grant(&share, request, has_read_registry, BootInstant::now())
    }

    /// Answers a peer that requests tokens from this node. Returns [`QuotaGrant::NotOwner`] if the
    /// tenant is unknown or another node owns its quota.
    #[must_use]
    pub fn grant_quota(&self, tenant: &[u8], request: QuotaRequest) -> QuotaGrant {
        let Some(tenant) = self.tenant_named(tenant) else {
            return QuotaGrant::NotOwner;
        };
        if !matches!(self.quota_owner(&tenant), QuotaOwner::Local) {
            return QuotaGrant::NotOwner;
        }
        self.grant_as_owner(&tenant, request)
    }

    /// Returns the tenant with the given name, if the configuration in force defines it.
    #[must_use]
    pub fn tenant_named(&self, name: &[u8]) -> Option<Arc<Tenant>> {
        let configuration = self.configuration()?;
        let name = std::str::from_utf8(name).ok()?;
        configuration
            .tenants
            .as_ref()?
            .tenant_by_name(name)
            .cloned()
    }
}
