//! Chooses which of the known nodes a node links to.
//!
//! A node links to at most `MAX_LINKS_PER_SERVICE` executors of each service. `OWN_ZONE_SHARE` of
//! them are in its own zone if there are enough. A link to every node would cost descriptors,
//! memory and heartbeats in proportion to the fleet.
//!
//! Each node ranks the candidates of a zone by rendezvous hashing with its own name. All nodes are
//! therefore chosen about equally often, and a node that joins or leaves changes few links. The
//! names and zones of candidates come from the registry and from peers and are up to a minute old.

use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

use crate::protocol::NodeRecord;

/// Links to the executors of all services together that a node aims for.
const TARGET_LINKS: usize = 256;
/// A choice among this many executors is nearly as good as one among all of them.
const MAX_LINKS_PER_SERVICE: usize = 32;
const MIN_LINKS_PER_SERVICE: usize = 8;
/// Share of the executors of a service that are chosen from the own zone. The rest can take over
/// when the zone fails.
const OWN_ZONE_SHARE: f64 = 0.625;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct LinkCandidate {
    pub(super) address: SocketAddr,
    is_in_own_zone: bool,
    rank: u64,
}

impl LinkCandidate {
    /// Creates the candidate for `record`, with its rank at the node of `own`.
    pub(super) fn new(own: &NodeRecord, record: &NodeRecord) -> Self {
        Self {
            address: record.address,
            is_in_own_zone: record.zone == own.zone,
            rank: xxh3_64(format!("{}\n{}", own.node, record.node).as_bytes()),
        }
    }
}

/// Returns the number of executors of each service to link to, given the number of services.
pub(super) fn subset_size(services: usize) -> usize {
    (TARGET_LINKS / services.max(1)).clamp(MIN_LINKS_PER_SERVICE, MAX_LINKS_PER_SERVICE)
}

/// Chooses the addresses to link to among the candidates of one service.
pub(super) fn choose_subset(mut candidates: Vec<LinkCandidate>, size: usize) -> Vec<SocketAddr> {
    candidates.sort_unstable_by_key(|candidate| (candidate.rank, candidate.address));
    let (own_zone, other_zones): (Vec<_>, Vec<_>) = candidates
        .into_iter()
        .partition(|candidate| candidate.is_in_own_zone);
    let own_zone_target = (size as f64 * OWN_ZONE_SHARE) as usize;
    let other_zone_count = other_zones
        .len()
        .min(size - own_zone.len().min(own_zone_target));
    let own_zone_count = own_zone.len().min(size - other_zone_count);
    let chosen = own_zone
        .iter()
        .take(own_zone_count)
        .chain(other_zones.iter().take(other_zone_count));
    chosen.map(|candidate| candidate.address).collect()
}
