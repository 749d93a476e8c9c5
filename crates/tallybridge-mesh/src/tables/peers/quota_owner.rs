//! Selects the node that owns the rate limit of a tenant. [`tables::quotas`](crate::tables::quotas)
//! documents how owners enforce limits.

use std::{collections::HashSet, sync::Arc};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::PeerTable;
use crate::link::Link;

/// Keeps the digests of services apart from those of nodes.
const PARTLY_LINKED_SEED: u64 = 1;

/// The owner of a tenant's limit.
#[derive(Debug, Clone)]
pub enum QuotaOwner {
    /// This node owns the limit.
    Local,
    /// The node at the other end of this link owns the limit.
    Peer(Arc<Link>),
    /// The limit has no owner, because nodes with different links would choose different ones. Each
    /// node enforces an equal part; the value is the number of parts.
    Split(usize),
}

impl PeerTable {
    /// Returns the owner of a tenant's limit: the first reachable node by rendezvous hashing.
    ///
    /// Only nodes of services whose nodes are all linked to are ranked, so that every node ranks
    /// the same candidates. If there is no such service, the limit is split.
    #[must_use]
    pub fn quota_owner(&self, tenant: &str) -> QuotaOwner {
        let partly_linked = self.partly_linked_services();
        if !self.services.is_empty() && partly_linked.len() >= self.services.len() {
            return QuotaOwner::Split(self.known_size());
        }
        let seed = xxh3_64(tenant.as_bytes());
        let rank = |node: &str| xxh3_64_with_seed(node.as_bytes(), seed);
        let is_eligible = |service: &str| !partly_linked.contains(service);
        let own = is_eligible(&self.own.service).then(|| (rank(&self.own.node), QuotaOwner::Local));
        let peers = self.rows.values().filter_map(|row| {
            let link = row.link.as_ref().filter(|link| !link.is_suspect())?;
            let ranked_peer = || (rank(&row.record.node), QuotaOwner::Peer(link.clone()));
            is_eligible(&row.record.service).then(ranked_peer)
        });
        let highest = own.into_iter().chain(peers).max_by_key(|(rank, _)| *rank);
        highest.map_or(QuotaOwner::Local, |(_, owner)| owner)
    }

    /// Returns the services that have known nodes without a link.
    fn partly_linked_services(&self) -> HashSet<&str> {
        let unlinked = self.unlinked.values();
        unlinked.map(|node| &*node.record.service).collect()
    }

    /// Returns a value that changes when the nodes that may own a limit change: the reachable peers, or the
    /// services whose nodes are all linked to.
    #[must_use]
    pub fn candidates_fingerprint(&self) -> u64 {
        let reached = self.rows.values().filter(|row| {
            let link = row.link.as_ref();
            link.is_some_and(|link| !link.is_suspect())
        });
        let nodes = reached.map(|row| xxh3_64(row.record.node.as_bytes()));
        let partly_linked = self.partly_linked_services().into_iter();
        let services =
            partly_linked.map(|service| xxh3_64_with_seed(service.as_bytes(), PARTLY_LINKED_SEED));
        nodes.chain(services).fold(0, |sum, digest| sum ^ digest)
    }

    /// Returns whether any peer is reachable.
    #[must_use]
    pub fn reaches_any(&self) -> bool {
        self.reached() > 0
    }

    /// Returns whether at least half of the selected peers are reachable.
    #[must_use]
    pub fn reaches_most(&self) -> bool {
        self.reached() * 2 >= self.rows.len()
    }
}
