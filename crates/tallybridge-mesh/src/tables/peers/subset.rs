//! Which of the known nodes this one links to.
//!
//! A link to every node would cost descriptors, memory and signs of life that grow with the fleet.
//! A node needs only so many executors of each service that its calls find one with room, so it
//! links to some of each: most of them in its own zone, and enough in others to do without it. The
//! choice is by rendezvous hashing (Thaler and Ravishankar, 1998): every node ranks the others in an
//! order of its own, so that all are chosen about equally often, and a node that comes or goes
//! changes few links. The ways that were weighed are in docs/PLATFORM.md.

use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

use crate::protocol::NodeRecord;

/// Links that a node wants to have to the executors of all services together.
const LINKS: usize = 256;
/// Most executors of one service that it links to. A choice among so many is as good as one among
/// all: two random ones would nearly do (Mitzenmacher, 2001).
const MOST: usize = 32;
/// Fewest executors of one service that it links to, while there are so many.
const LEAST: usize = 8;
/// Part of the executors of a service that are taken from the own zone, if it has so many.
const HOME_PART: f64 = 0.625;

/// A node that may be linked to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct LinkCandidate {
    pub(super) address: SocketAddr,
    is_home: bool,
    rank: u64,
}

impl LinkCandidate {
    /// The candidate that a record stands for, as the node of the record `own` ranks it.
    pub(super) fn of(own: &NodeRecord, record: &NodeRecord) -> Self {
        Self {
            address: record.address,
            is_home: record.zone == own.zone,
            rank: xxh3_64(format!("{}\n{}", own.node, record.node).as_bytes()),
        }
    }
}

/// Executors of one service that a node links to in a fleet of so many services.
pub(super) fn subset_size(services: usize) -> usize {
    (LINKS / services.max(1)).clamp(LEAST, MOST)
}

/// The addresses to link to among the candidates of one service.
pub(super) fn choose_subset(mut candidates: Vec<LinkCandidate>, size: usize) -> Vec<SocketAddr> {
    candidates.sort_unstable_by_key(|candidate| (candidate.rank, candidate.address));
    let (home, away): (Vec<_>, Vec<_>) = candidates
        .into_iter()
        .partition(|candidate| candidate.is_home);
    let home_wanted = (size as f64 * HOME_PART) as usize;
    let away_taken = away.len().min(size - home.len().min(home_wanted));
    let home_taken = home.len().min(size - away_taken);
    let chosen = home
        .iter()
        .take(home_taken)
        .chain(away.iter().take(away_taken));
    chosen.map(|candidate| candidate.address).collect()
}
