//! Which nodes can hold claims, and the map that follows from it.

use std::collections::BTreeSet;

use tallybridge_claims::{Candidate, PartitionMap, Presence, SyncReport, plan};
use tallybridge_core::{NodeId, RegionName, ZoneName};
use tallybridge_membership::{Incarnation, MemberRecord, MemberState};

use crate::{actor::claims::PlannerRole, tables::Tables};

/// The map that follows `current` with the nodes known now.
#[must_use]
pub fn next_map(
    tables: &Tables,
    current: &PartitionMap,
    reports: &BTreeSet<SyncReport>,
    now_unix_ms: u64,
) -> PartitionMap {
    let mut candidates = claim_candidates(tables);
    candidates.extend(unseen_replicas(tables, current));
    plan(current, &candidates, reports, now_unix_ms)
}

/// Whether this node plans: the first of the live nodes does. Two that take themselves for the
/// first do no harm, as the map changes by compare-and-swap alone.
#[must_use]
pub fn planner_role(tables: &Tables) -> PlannerRole {
    let candidates = claim_candidates(tables);
    let live = candidates
        .iter()
        .filter(|candidate| candidate.presence == Presence::Live);
    PlannerRole {
        plans: live.clone().map(|candidate| candidate.node).min() == Some(tables.identity),
        live: live.count(),
    }
}

/// The nodes that can hold claims, as far as this node knows them.
#[must_use]
pub fn claim_candidates(tables: &Tables) -> Vec<Candidate> {
    tables.members.members().filter_map(candidate).collect()
}

/// A member as candidate. One that said that it is gone, or whose address another instance has
/// taken, has ended and is none; one that is merely silent may still run.
fn candidate(record: &MemberRecord) -> Option<Candidate> {
    let presence = match record.state() {
        MemberState::Alive | MemberState::Suspect => Presence::Live,
        MemberState::Leaving => Presence::Unavailable,
        MemberState::Dead if record.incarnation != Incarnation::FINAL => Presence::Unavailable,
        MemberState::Dead | MemberState::Left => return None,
    };
    Some(Candidate {
        node: record.node,
        region: record.placement.region.clone(),
        zone: record.placement.zone.clone(),
        rack: record.placement.rack.to_string(),
        presence,
    })
}

/// Replicas that this node does not know. They count as unavailable, since a candidate that is
/// left out counts as ended; only one whose address another instance has taken, or that said that
/// it is gone, has ended.
fn unseen_replicas(tables: &Tables, current: &PartitionMap) -> Vec<Candidate> {
    let known: BTreeSet<_> = tables
        .members
        .members()
        .map(|record| record.node.address)
        .collect();
    let replicas: BTreeSet<NodeId> = current
        .iter()
        .flat_map(|(_, entry)| entry.replicas.iter().chain(&entry.previous))
        .map(|replica| replica.node)
        .collect();
    let unseen = replicas
        .into_iter()
        .filter(|node| !known.contains(&node.address));
    unseen.map(unavailable).collect()
}

fn unavailable(node: NodeId) -> Candidate {
    Candidate {
        node,
        region: RegionName::from(""),
        zone: ZoneName::from(""),
        rack: String::new(),
        presence: Presence::Unavailable,
    }
}
