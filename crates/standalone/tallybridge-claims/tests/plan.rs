//! Plans of the partition map move as little as they must.

use std::collections::{BTreeMap, BTreeSet};

use tallybridge_claims::{Candidate, Origin, PartitionMap, Presence, plan};
use tallybridge_core::{InstanceId, NodeId};

const NOW_UNIX_MS: u64 = 1_800_000_000_000;
const NODES: u16 = 12;
const ZONES: u16 = 3;

fn node(number: u16, instance: u64) -> NodeId {
    NodeId {
        address: ([127, 0, 0, 1], number + 1).into(),
        instance: InstanceId(instance),
    }
}

fn candidates() -> Vec<Candidate> {
    let one = |number: u16| Candidate {
        node: node(number, 1),
        region: "south".into(),
        zone: format!("z{}", number % ZONES).into(),
        rack: String::new(),
        presence: Presence::Live,
    };
    (0..NODES).map(one).collect()
}

fn next(map: &PartitionMap, candidates: &[Candidate]) -> PartitionMap {
    plan(map, candidates, &BTreeSet::new(), NOW_UNIX_MS)
}

#[test]
fn the_first_plan_spreads_each_partition_over_zones_and_the_load_over_nodes() {
    let candidates = candidates();
    let map = next(&PartitionMap::default(), &candidates);
    let zones: BTreeMap<NodeId, _> = candidates.iter().map(|one| (one.node, &one.zone)).collect();
    let mut load: BTreeMap<NodeId, usize> = BTreeMap::new();
    for (partition, entry) in map.iter() {
        let apart: BTreeSet<_> = entry.nodes().map(|node| zones[&node]).collect();
        assert_eq!(apart.len(), 3, "{partition:?}");
        entry
            .nodes()
            .for_each(|node| *load.entry(node).or_default() += 1);
    }
    assert_eq!(load.len(), usize::from(NODES));
    let (least, most) = (load.values().min(), load.values().max());
    assert!(
        most.zip(least)
            .is_some_and(|(most, least)| most - least <= 1),
        "{load:?}"
    );
    assert_eq!(next(&map, &candidates), map, "nothing to change");
}

#[test]
fn a_replaced_node_changes_its_own_partitions_alone() {
    let mut candidates = candidates();
    let before = next(&PartitionMap::default(), &candidates);
    let gone = candidates[0].node;
    candidates[0].node = node(0, 2);
    let after = next(&before, &candidates);
    for (partition, old) in before.iter() {
        let new = after.entry(partition).expect("whole");
        if old.replica(gone).is_none() {
            assert_eq!(new, old);
            continue;
        }
        let stayed = new
            .nodes()
            .filter(|node| old.replica(*node).is_some())
            .count();
        assert_eq!((stayed, new.epoch, new.origin), (2, 2, Origin::Copy));
        assert!(new.replica(gone).is_none());
    }
}

#[test]
fn two_unavailable_replicas_are_waited_for() {
    let mut candidates = candidates();
    let before = next(&PartitionMap::default(), &candidates);
    let (_, first) = before.iter().next().expect("whole");
    let silent: Vec<NodeId> = first.nodes().take(2).collect();
    for one in &mut candidates {
        if silent.contains(&one.node) {
            one.presence = Presence::Unavailable;
        }
    }
    let after = next(&before, &candidates);
    assert_eq!(after.iter().next().expect("whole").1, first);
    candidates.retain(|one| !silent.contains(&one.node));
    let after = next(&before, &candidates);
    let (_, reset) = after.iter().next().expect("whole");
    assert_eq!(reset.origin, Origin::Reset);
    assert!(reset.reset_unix_ms > NOW_UNIX_MS);
}

#[test]
fn a_map_survives_the_store() {
    let map = next(&PartitionMap::default(), &candidates());
    let json = serde_json::to_string(&map).expect("serializes");
    let read: PartitionMap = serde_json::from_str(&json).expect("parses");
    assert_eq!(read, map);
}
