//! Plans the next partition map from the current map, the candidate nodes and the sync reports.
//!
//! In each partition, a plan replaces terminated replicas or one unavailable replica. A partition
//! with too few surviving synchronised replicas is reset, so that lost claims cannot cause another
//! run.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use tallybridge_core::{NodeId, RegionName, ZoneName};

use crate::{
    key_window,
    map::{Origin, PartitionEntry, PartitionMap, Replica},
    partition::{PartitionId, REPLICAS, read_quorum},
    placement::Placement,
};

/// Availability of a node for storing claims.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Presence {
    /// The node responds and is not leaving.
    Live,
    /// The node is leaving or unresponsive, but its process may still be running.
    Unavailable,
}

/// A node whose process may still be running.
///
/// The planner treats a node that is not a candidate as terminated. Callers must omit a node only
/// when its process is known to have ended: another instance has its address, the node announced
/// its end, or its machine is no longer in the machine list. An unresponsive node is
/// [`Presence::Unavailable`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Instance of the node.
    pub node: NodeId,
    /// Region of the node; replicas are placed in the same region if possible.
    pub region: RegionName,
    /// Zone of the node; replicas are placed in different zones if possible.
    pub zone: ZoneName,
    /// Rack of the node; empty if unknown.
    pub rack: String,
    /// Availability; only live nodes are assigned as new replicas.
    pub presence: Presence,
}

/// A report that a replica is synchronised and can vote in an epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct SyncReport {
    /// Node of the replica that sent the report.
    pub node: NodeId,
    /// Partition in which the replica can vote.
    pub partition: PartitionId,
    /// Epoch of the partition entry that the replica has applied.
    pub epoch: u64,
}

/// Returns the next map, which equals `current` if nothing changes.
///
/// In each partition, the plan replaces terminated replicas or one unavailable replica, adds
/// missing replicas, and keeps all others.
#[must_use]
pub fn plan(
    current: &PartitionMap,
    candidates: &[Candidate],
    reports: &BTreeSet<SyncReport>,
    now_unix_ms: u64,
) -> PartitionMap {
    let mut planner = Planner::new(current, candidates, now_unix_ms);
    let entries = PartitionId::all().map(|partition| match current.entry(partition) {
        Some(entry) => planner.plan_next(&without_reported_joiners(partition, entry, reports)),
        None => planner.plan_first(),
    });
    let entries: Option<Vec<PartitionEntry>> = entries.collect();
    entries.map_or_else(|| current.clone(), PartitionMap::new)
}

/// Returns the entry without the joining replicas that have reported that they are synchronised.
fn without_reported_joiners(
    partition: PartitionId,
    entry: &PartitionEntry,
    reports: &BTreeSet<SyncReport>,
) -> PartitionEntry {
    let epoch = entry.epoch;
    let is_reported = |node: NodeId| {
        reports.contains(&SyncReport {
            node,
            partition,
            epoch,
        })
    };
    let mut entry = entry.clone();
    entry.joining.retain(|node| !is_reported(*node));
    entry
}

/// A change of one partition, without the replicas that will join.
struct PartitionChange {
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

    fn plan_first(&mut self) -> Option<PartitionEntry> {
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

    fn plan_next(&mut self, entry: &PartitionEntry) -> Option<PartitionEntry> {
        let change = self.plan_change(entry);
        let next = change.and_then(|change| self.apply_change(entry, change));
        Some(next.unwrap_or_else(|| entry.clone()))
    }

    fn plan_change(&self, entry: &PartitionEntry) -> Option<PartitionChange> {
        let quorum = read_quorum(entry.replicas.len());
        let remaining = self.remaining(entry);
        let synchronised = remaining
            .iter()
            .filter(|replica| !entry.joining.contains(&replica.node));
        let synchronised = synchronised.count();
        if synchronised < quorum {
            let can_finish_joining = self.can_complete_copies(entry) && remaining.len() >= quorum;
            return (!can_finish_joining).then(|| self.reset(entry, remaining));
        }
        let staying = if remaining.len() < entry.replicas.len() {
            remaining
        } else if entry.joining.is_empty() {
            self.without_first_unavailable(entry)
        } else {
            return None;
        };
        let needs_change = staying.len() < REPLICAS;
        needs_change.then(|| PartitionChange {
            origin: Origin::Copy,
            staying,
            previous: entry.replicas.clone(),
            reset_unix_ms: entry.reset_unix_ms,
        })
    }

    fn reset(&self, entry: &PartitionEntry, remaining: Vec<Replica>) -> PartitionChange {
        let barrier = key_window::reset_barrier(self.now_unix_ms);
        PartitionChange {
            origin: Origin::Reset,
            previous: remaining.clone(),
            staying: remaining,
            reset_unix_ms: barrier.max(entry.reset_unix_ms),
        }
    }

    /// Returns the replicas that have not terminated.
    fn remaining(&self, entry: &PartitionEntry) -> Vec<Replica> {
        let replicas = entry.replicas.iter().copied();
        replicas
            .filter(|replica| self.placement.is_candidate(replica.node))
            .collect()
    }

    /// Returns whether joining replicas can still complete their copies from the previous replicas.
    fn can_complete_copies(&self, entry: &PartitionEntry) -> bool {
        let previous = entry.previous.iter();
        let available = previous
            .filter(|replica| self.placement.is_candidate(replica.node))
            .count();
        match entry.origin {
            Origin::First => true,
            Origin::Copy => available >= read_quorum(entry.previous.len()),
            Origin::Reset => available == entry.previous.len(),
        }
    }

    /// Returns the replicas without the first unavailable one if a read quorum is live, or else all
    /// replicas.
    fn without_first_unavailable(&self, entry: &PartitionEntry) -> Vec<Replica> {
        let is_live = |replica: &Replica| self.placement.is_live(replica.node);
        let live = entry
            .replicas
            .iter()
            .filter(|replica| is_live(replica))
            .count();
        let unavailable = entry.replicas.iter().position(|replica| !is_live(replica));
        let mut staying = entry.replicas.clone();
        if let Some(position) = unavailable
            && live >= read_quorum(entry.replicas.len())
        {
            staying.remove(position);
        }
        staying
    }

    /// Returns the entry of the next epoch, or `None` if there are too few nodes for it.
    fn apply_change(
        &mut self,
        entry: &PartitionEntry,
        change: PartitionChange,
    ) -> Option<PartitionEntry> {
        let epoch = entry.epoch + 1;
        let staying: Vec<NodeId> = change.staying.iter().map(|replica| replica.node).collect();
        let leaving = entry.nodes().filter(|node| !staying.contains(node));
        let leaving: Vec<NodeId> = leaving.collect();
        let size = match change.origin {
            Origin::Reset => REPLICAS,
            // Adding more than one replica at once would allow a majority that does not overlap
            // every majority of the previous epoch.
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
    change: PartitionChange,
    joined: &[NodeId],
) -> PartitionEntry {
    let mut replicas = change.staying;
    let still_joining = entry.joining.iter().copied();
    let is_staying = |node: &NodeId| replicas.iter().any(|replica| replica.node == *node);
    let mut joining: Vec<NodeId> = still_joining.filter(is_staying).collect();
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
