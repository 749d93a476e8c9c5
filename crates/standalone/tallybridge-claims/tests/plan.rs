//! Plans spread replicas evenly and change only the partitions that need a change.

use std::collections::{BTreeMap, BTreeSet};

use tallybridge_claims::{Candidate, Origin, PartitionMap, Presence, plan};
use tallybridge_core::{InstanceId, NodeId};

const NOW_UNIX_MS: u64 = 1_800_000_000_000;
const NODE_COUNT: u16 = 12;
const ZONE_COUNT: u16 = 3;

fn node(number: u16, instance: u64) -> NodeId {
    NodeId {
        address: ([127, 0, 0, 1], number + 1).into(),
        instance: InstanceId(instance),
    }
}

fn candidates() -> Vec<Candidate> {
    let candidate = |number: u16| Candidate {
        node: node(number, 1),
        region: "south".into(),
        zone: format!("z{}", number % ZONE_COUNT).into(),
        rack: String::new(),
        presence: Presence::Live,
    };
    (0..NODE_COUNT).map(candidate).collect()
}

fn next_map(map: &PartitionMap, candidates: &[Candidate]) -> PartitionMap {
    plan(map, candidates, &BTreeSet::new(), NOW_UNIX_MS)
}

#[test]
fn first_plan_spreads_over_zones_and_nodes() {
    let candidates = candidates();
    let map = next_map(&PartitionMap::default(), &candidates);
    let zones: BTreeMap<NodeId, _> = candidates
        .iter()
        .map(|candidate| (candidate.node, &candidate.zone))
        .collect();
    let mut partitions_per_node: BTreeMap<NodeId, usize> = BTreeMap::new();
    for (partition, entry) in map.iter() {
        let zones_used: BTreeSet<_> = entry.nodes().map(|node| zones[&node]).collect();
        assert_eq!(zones_used.len(), 3, "{partition:?}");
        entry
            .nodes()
            .for_each(|node| *partitions_per_node.entry(node).or_default() += 1);
    }
    assert_eq!(partitions_per_node.len(), usize::from(NODE_COUNT));
    let (least, most) = (
        partitions_per_node.values().min(),
        partitions_per_node.values().max(),
    );
    assert!(
        most.zip(least)
            .is_some_and(|(most, least)| most - least <= 1),
        "{partitions_per_node:?}"
    );
    assert_eq!(
        next_map(&map, &candidates),
        map,
        "a second plan must not change the map"
    );
}

#[test]
fn replaced_node_changes_only_its_partitions() {
    let mut candidates = candidates();
    let before = next_map(&PartitionMap::default(), &candidates);
    let terminated = candidates[0].node;
    candidates[0].node = node(0, 2);
    let after = next_map(&before, &candidates);
    for (partition, old) in before.iter() {
        let new = after.entry(partition).expect("the map has all partitions");
        if old.replica(terminated).is_none() {
            assert_eq!(new, old);
            continue;
        }
        let kept = new
            .nodes()
            .filter(|node| old.replica(*node).is_some())
            .count();
        assert_eq!((kept, new.epoch, new.origin), (2, 2, Origin::Copy));
        assert!(new.replica(terminated).is_none());
    }
}

#[test]
fn resets_only_after_unavailable_replicas_terminate() {
    let mut candidates = candidates();
    let before = next_map(&PartitionMap::default(), &candidates);
    let (_, first) = before.iter().next().expect("the map has all partitions");
    let unavailable: Vec<NodeId> = first.nodes().take(2).collect();
    for candidate in &mut candidates {
        if unavailable.contains(&candidate.node) {
            candidate.presence = Presence::Unavailable;
        }
    }
    let after = next_map(&before, &candidates);
    assert_eq!(
        after.iter().next().expect("the map has all partitions").1,
        first
    );
    candidates.retain(|candidate| !unavailable.contains(&candidate.node));
    let after = next_map(&before, &candidates);
    let (_, reset) = after.iter().next().expect("the map has all partitions");
    assert_eq!(reset.origin, Origin::Reset);
    assert!(reset.reset_unix_ms > NOW_UNIX_MS);
}

#[test]
fn map_round_trips_through_json() {
    let map = next_map(&PartitionMap::default(), &candidates());
    let json = serde_json::to_string(&map).expect("the map serializes");
    let decoded: PartitionMap = serde_json::from_str(&json).expect("the map parses");
    assert_eq!(decoded, map);
}
