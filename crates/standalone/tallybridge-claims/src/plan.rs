//! Plans the next partition map.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use tallybridge_core::{NodeId, RegionName, ZoneName};

use crate::{
    key_window,
    map::{Origin, PartitionEntry, PartitionMap, Replica},
    partition::{PartitionId, REPLICAS, read_quorum},
    placement::Placement,
};

/// Whether a node can hold claims.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Presence {
    /// It answers and stays.
    Live,
    /// It leaves or does not answer, but its process may still run.
    Unavailable,
}

/// A node that may hold claims.
///
/// A node that is not among the candidates counts as ended, so leave one out only when its process
/// is known to be gone: another instance has its address, it said that it is done, or the machine
/// list has dropped its machine. One that merely does not answer is [`Presence::Unavailable`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The node.
    pub node: NodeId,
    /// Its region.
    pub region: RegionName,
    /// Its zone.
    pub zone: ZoneName,
    /// Its rack; empty when unknown.
    pub rack: String,
    /// Whether it can hold claims.
    pub presence: Presence,
}

/// A replica's word that it can vote in an epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct SyncReport {
    /// The replica.
    pub node: NodeId,
    /// The partition.
    pub partition: PartitionId,
    /// The epoch.
    pub epoch: u64,
}

/// The next map: replaces the replicas that ended, or one of a partition that is unavailable, and
/// moves nothing else. Equal to `current` when there is nothing to change.
#[must_use]
pub fn plan(
    current: &PartitionMap,
    candidates: &[Candidate],
    reports: &BTreeSet<SyncReport>,
    now_unix_ms: u64,
) -> PartitionMap {
    let mut planner = Planner::new(current, candidates, now_unix_ms);
    let entries = PartitionId::all().map(|partition| match current.entry(partition) {
        Some(entry) => planner.next(&settled(partition, entry, reports)),
        None => planner.first(),
    });
    let entries: Option<Vec<PartitionEntry>> = entries.collect();
    entries.map_or_else(|| current.clone(), PartitionMap::new)
}

/// The entry without the joining replicas that are now known to be synchronised.
fn settled(
    partition: PartitionId,
    entry: &PartitionEntry,
    reports: &BTreeSet<SyncReport>,
) -> PartitionEntry {
    let epoch = entry.epoch;
    let reported = |node: NodeId| {
        reports.contains(&SyncReport {
            node,
            partition,
            epoch,
        })
    };
    let mut entry = entry.clone();
    entry.joining.retain(|node| !reported(*node));
    entry
}

/// The replicas that stay, with what is chosen for the next epoch.
struct Change {
    origin: Origin,
    staying: Vec<Replica>,
    previous: Vec<Replica>,
    reset_unix_ms: u64,
}

struct Planner<'a> {
    placement: Placement<'a>,
    now_unix_ms: u64,
}

impl<'a> Planner<'a> {
    fn new(current: &PartitionMap, candidates: &'a [Candidate], now_unix_ms: u64) -> Self {
        Self {
            placement: Placement::new(current, candidates),
            now_unix_ms,
        }
    }

    fn first(&mut self) -> Option<PartitionEntry> {
        let nodes = self.placement.fill(Vec::new(), REPLICAS);
        if nodes.is_empty() {
            return None;
        }
        let replicas = nodes.iter().map(|node| Replica {
            node: *node,
            since_epoch: 1,
        });
        Some(PartitionEntry {
            epoch: 1,
            origin: Origin::First,
            replicas: replicas.collect(),
            previous: Vec::new(),
            joining: Vec::new(),
            reset_unix_ms: 0,
        })
    }

    fn next(&mut self, entry: &PartitionEntry) -> Option<PartitionEntry> {
        let change = self.change(entry);
        let next = change.and_then(|change| self.carry_out(entry, change));
        Some(next.unwrap_or_else(|| entry.clone()))
    }

    /// What to change in a partition, if anything.
    fn change(&self, entry: &PartitionEntry) -> Option<Change> {
        let quorum = read_quorum(entry.replicas.len());
        let remaining = self.remaining(entry);
        let sound = remaining
            .iter()
            .filter(|one| !entry.joining.contains(&one.node));
        let sound = sound.count();
        if sound < quorum {
            let hopeful = self.can_copy(entry) && remaining.len() >= quorum;
            return (!hopeful).then(|| self.reset(entry, remaining));
        }
        let staying = if remaining.len() < entry.replicas.len() {
            remaining
        } else if entry.joining.is_empty() {
            self.without_one_unavailable(entry)
        } else {
            return None;
        };
        let changes = staying.len() < REPLICAS;
        changes.then(|| Change {
            origin: Origin::Copy,
            staying,
            previous: entry.replicas.clone(),
            reset_unix_ms: entry.reset_unix_ms,
        })
    }

    fn reset(&self, entry: &PartitionEntry, remaining: Vec<Replica>) -> Change {
        let barrier = key_window::reset_barrier(self.now_unix_ms);
        Change {
            origin: Origin::Reset,
            previous: remaining.clone(),
            staying: remaining,
            reset_unix_ms: barrier.max(entry.reset_unix_ms),
        }
    }

    /// The replicas that have not ended.
    fn remaining(&self, entry: &PartitionEntry) -> Vec<Replica> {
        let replicas = entry.replicas.iter().copied();
        replicas
            .filter(|one| self.placement.has(one.node))
            .collect()
    }

    /// Whether enough previous replicas are left for those that join to copy from.
    fn can_copy(&self, entry: &PartitionEntry) -> bool {
        let previous = entry.previous.iter();
        let left = previous.filter(|one| self.placement.has(one.node)).count();
        match entry.origin {
            Origin::First => true,
            Origin::Copy => left >= read_quorum(entry.previous.len()),
            Origin::Reset => left == entry.previous.len(),
        }
    }

    /// The replicas without the first unavailable one, if the others can do without it.
    fn without_one_unavailable(&self, entry: &PartitionEntry) -> Vec<Replica> {
        let is_live = |one: &Replica| self.placement.is_live(one.node);
        let live = entry.replicas.iter().filter(|one| is_live(one)).count();
        let unavailable = entry.replicas.iter().position(|one| !is_live(one));
        let mut staying = entry.replicas.clone();
        if let Some(position) = unavailable
            && live >= read_quorum(entry.replicas.len())
        {
            staying.remove(position);
        }
        staying
    }

    /// The next epoch, or `None` when there are no nodes to take the places.
    fn carry_out(&mut self, entry: &PartitionEntry, change: Change) -> Option<PartitionEntry> {
        let epoch = entry.epoch + 1;
        let staying: Vec<NodeId> = change.staying.iter().map(|one| one.node).collect();
        let leaving = entry.nodes().filter(|node| !staying.contains(node));
        let leaving: Vec<NodeId> = leaving.collect();
        let size = match change.origin {
            Origin::Reset => REPLICAS,
            // One more at a time, so that every majority shares a member with every one before.
            Origin::First | Origin::Copy => {
                REPLICAS.min(entry.replicas.len() + usize::from(leaving.is_empty()))
            }
        };
        let joined: Vec<NodeId> =
            self.placement.fill(staying.clone(), size)[staying.len()..].to_vec();
        let too_few =
            change.origin != Origin::Reset && staying.len() + joined.len() < entry.replicas.len();
        if too_few || (joined.is_empty() && leaving.is_empty()) || staying.len() + joined.len() == 0
        {
            self.placement.release(&joined);
            return None;
        }
        self.placement.release(&leaving);
        Some(next_entry(entry, epoch, change, &joined))
    }
}

fn next_entry(
    entry: &PartitionEntry,
    epoch: u64,
    change: Change,
    joined: &[NodeId],
) -> PartitionEntry {
    let mut replicas = change.staying;
    let still_joining = entry.joining.iter().copied();
    let staying = |node: &NodeId| replicas.iter().any(|one| one.node == *node);
    let mut joining: Vec<NodeId> = still_joining.filter(staying).collect();
    joining.extend(joined);
    replicas.extend(joined.iter().map(|node| Replica {
        node: *node,
        since_epoch: epoch,
    }));
    PartitionEntry {
        epoch,
        origin: change.origin,
        replicas,
        previous: change.previous,
        joining,
        reset_unix_ms: change.reset_unix_ms,
    }
}
