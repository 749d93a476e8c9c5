//! Which node owns the rate limit of a tenant. The rule of limits:
//! [`tables::quotas`](crate::tables::quotas).

use std::{collections::HashSet, sync::Arc};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::PeerTable;
use crate::link::Link;

/// The owner of a tenant's limit.
#[derive(Debug, Clone)]
pub enum QuotaOwner {
    /// This node.
    Local,
    /// Another node.
    Peer(Arc<Link>),
    /// None on which all nodes would agree: each keeps one of so many equal parts of the limit.
    Split(usize),
}

impl PeerTable {
    /// The node that ranks first for a tenant, by rendezvous hashing, among those that this one
    /// reaches. Only nodes of services count whose nodes are all linked to, so that every node
    /// ranks the same ones; where no service is, the limit is split.
    #[must_use]
    pub fn quota_owner(&self, tenant: &str) -> QuotaOwner {
        let partly_linked = self.partly_linked_services();
        if !self.services.is_empty() && partly_linked.len() >= self.services.len() {
            return QuotaOwner::Split(self.known_size());
        }
        let seed = xxh3_64(tenant.as_bytes());
        let rank = |node: &str| xxh3_64_with_seed(node.as_bytes(), seed);
        let counts = |service: &str| !partly_linked.contains(service);
        let own = counts(&self.own.service).then(|| (rank(&self.own.node), QuotaOwner::Local));
        let peers = self.rows.values().filter_map(|row| {
            let link = row.link.as_ref().filter(|link| !link.is_suspect())?;
            let ranked = || (rank(&row.record.node), QuotaOwner::Peer(link.clone()));
            counts(&row.record.service).then(ranked)
        });
        let first = own.into_iter().chain(peers).max_by_key(|(rank, _)| *rank);
        first.map_or(QuotaOwner::Local, |(_, owner)| owner)
    }

    /// Services of which this node links to a subset only.
    fn partly_linked_services(&self) -> HashSet<&str> {
        let unlinked = self.unlinked.values();
        unlinked.map(|node| &*node.record.service).collect()
    }

    /// The nodes in reach as one number, which changes when they do.
    #[must_use]
    pub fn reached_fingerprint(&self) -> u64 {
        let reached = self.rows.values().filter(|row| {
            let link = row.link.as_ref();
            link.is_some_and(|link| !link.is_suspect())
        });
        let digests = reached.map(|row| xxh3_64(row.record.node.as_bytes()));
        digests.fold(0, |sum, digest| sum ^ digest)
    }

    /// Whether any node is in reach.
    #[must_use]
    pub fn reaches_any(&self) -> bool {
        self.reached() > 0
    }

    /// Whether at least half of the nodes that this one links to are in reach.
    #[must_use]
    pub fn reaches_most(&self) -> bool {
        self.reached() * 2 >= self.rows.len()
    }
}
