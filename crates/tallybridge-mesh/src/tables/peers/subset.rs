//! Which of the known nodes this one links to.
//!
//! **Rule.** A node links to at most `MAX_PER_SERVICE` executors of each service, five eighths of them in
//! its own zone as far as it has so many, the rest in others. Among the candidates of a zone it takes
//! the first in an order of its own, by rendezvous hashing (Thaler and Ravishankar, 1998).
//!
//! **Inputs.** The names and zones of the known nodes of a service that are not down, from the registry
//! and from peers, up to a minute old; the number of services.
//!
//! **Output.** The addresses to link to.
//!
//! **Why.** A link to every node would cost descriptors, memory and heartbeats that grow with the fleet,
//! and a node needs only so many executors of each service that its calls find one with room. Each node
//! ranks the others in an order of its own, so all are chosen about equally often, and a node that comes
//! or goes changes few links.
//!
//! **Constants.** At 300 machines subsets took connections from 632 to 279, memory from 8.6 to 4.1 MB and
//! the day's worth from 0.852 to 0.887 (docs/MEASUREMENTS.md). The ways that lost (the nearest on a ring
//! of hashes, a random choice, a full mesh) are in docs/DESIGN.md, "Ways weighed".

use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

use crate::protocol::NodeRecord;

/// Links that a node wants to have to the executors of all services together. Origin not recorded.
const LINKS_WANTED: usize = 256;
/// Most executors of one service that a node links to. A choice among so many is as good as one among
/// all: two random ones would nearly do (Mitzenmacher, 2001). Origin of the figure not recorded.
const MAX_PER_SERVICE: usize = 32;
/// Fewest executors of one service that a node links to, while there are so many. Origin not recorded.
const MIN_PER_SERVICE: usize = 8;
/// Part of the executors of a service that are taken from the own zone, if it has so many: most calls
/// stay there, and enough are left in others to do without it. Origin of the figure not recorded.
const OWN_ZONE_PART: f64 = 0.625;

/// A node that may be linked to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct LinkCandidate {
    pub(super) address: SocketAddr,
    is_in_own_zone: bool,
    rank: u64,
}

impl LinkCandidate {
    /// The candidate that a record stands for, as the node of the record `own` ranks it.
    pub(super) fn of(own: &NodeRecord, record: &NodeRecord) -> Self {
        Self {
            address: record.address,
            is_in_own_zone: record.zone == own.zone,
            rank: xxh3_64(format!("{}\n{}", own.node, record.node).as_bytes()),
        }
    }
}

/// Executors of one service that a node links to in a fleet of so many services.
pub(super) fn subset_size(services: usize) -> usize {
    (LINKS_WANTED / services.max(1)).clamp(MIN_PER_SERVICE, MAX_PER_SERVICE)
}

/// The addresses to link to among the candidates of one service.
pub(super) fn choose_subset(mut candidates: Vec<LinkCandidate>, size: usize) -> Vec<SocketAddr> {
    candidates.sort_unstable_by_key(|candidate| (candidate.rank, candidate.address));
    let (own_zone, others): (Vec<_>, Vec<_>) = candidates
        .into_iter()
        .partition(|candidate| candidate.is_in_own_zone);
    let own_wanted = (size as f64 * OWN_ZONE_PART) as usize;
    let others_taken = others.len().min(size - own_zone.len().min(own_wanted));
    let own_taken = own_zone.len().min(size - others_taken);
    let chosen = own_zone
        .iter()
        .take(own_taken)
        .chain(others.iter().take(others_taken));
    chosen.map(|candidate| candidate.address).collect()
}
