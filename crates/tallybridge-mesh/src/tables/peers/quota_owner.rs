//! Which node keeps the limit of a tenant.

use std::{collections::HashSet, sync::Arc};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::PeerTable;
use crate::link::Link;

/// The home of a tenant.
#[derive(Debug, Clone)]
pub enum QuotaOwner {
    /// This node.
    Local,
    /// Another one.
    Peer(Arc<Link>),
    /// None that all nodes agree on: each keeps one of so many equal parts of the limit.
    Split(usize),
}

impl PeerTable {
    /// The node that ranks first for a tenant among those that this one reaches. Only nodes beside
    /// back ends of services count whose nodes are all linked to, so that every node ranks the same
    /// ones; where there is none of these, there is no home.
    #[must_use]
    pub fn quota_owner(&self, tenant: &str) -> QuotaOwner {
        let seed = xxh3_64(tenant.as_bytes());
        let rank = |node: &str| xxh3_64_with_seed(node.as_bytes(), seed);
        let unlinked = self.unlinked.values();
        let partial: HashSet<&str> = unlinked.map(|node| &*node.record.service).collect();
        if !self.services.is_empty() && partial.len() >= self.services.len() {
            return QuotaOwner::Split(self.known_size());
        }
        let counts = |service: &str| !partial.contains(service);
        let own = counts(&self.own.service).then(|| (rank(&self.own.node), QuotaOwner::Local));
        let peers = self.rows.values().filter_map(|row| {
            let link = row.link.as_ref().filter(|link| !link.is_suspect())?;
            let home = || (rank(&row.record.node), QuotaOwner::Peer(link.clone()));
            counts(&row.record.service).then(home)
        });
        let first = own.into_iter().chain(peers).max_by_key(|(rank, _)| *rank);
        first.map_or(QuotaOwner::Local, |(_, home)| home)
    }

    /// The nodes that are reached, in one number that changes when they do.
    #[must_use]
    pub fn reached_fingerprint(&self) -> u64 {
        let reached = self.rows.values().filter(|row| {
            let link = row.link.as_ref();
            link.is_some_and(|link| !link.is_suspect())
        });
        let digests = reached.map(|row| xxh3_64(row.record.node.as_bytes()));
        digests.fold(0, |sum, digest| sum ^ digest)
    }

    /// Whether any node is reached.
    #[must_use]
    pub fn reaches_any(&self) -> bool {
        self.reached() > 0
    }

    /// Whether at least half of the nodes that this one links to are reached.
    #[must_use]
    pub fn reaches_most(&self) -> bool {
        self.reached() * 2 >= self.rows.len()
    }
}
