//! Joining replicas copy all claims before they vote, and no replica grants a forgotten key.

use std::collections::BTreeSet;

use tallybridge_claims::{
    Candidate, ClaimTable, PartitionId, PartitionMap, Presence, SKEW_MS, WINDOW_MS, plan,
};
use tallybridge_core::{AttemptId, InstanceId, NodeId, RequestKey};
use tallybridge_wire::claim::{AbstainReason, Claim, ClaimVote};

const NOW_UNIX_MS: u64 = 1_800_000_000_000;
const CAPACITY: usize = 10_000;
/// More keys than fit in one page.
const MULTI_PAGE_KEYS: usize = 300;

fn node(number: u64) -> NodeId {
    let port = u16::try_from(number).expect("node numbers fit in a port");
    NodeId {
        address: ([127, 0, 0, 1], port).into(),
        instance: InstanceId(number),
    }
}

fn map(current: &PartitionMap, nodes: &[u64]) -> PartitionMap {
    let candidate = |number: &u64| Candidate {
        node: node(*number),
        region: "south".into(),
        zone: "a".into(),
        rack: String::new(),
        presence: Presence::Live,
    };
    let candidates: Vec<Candidate> = nodes.iter().map(candidate).collect();
    plan(current, &candidates, &BTreeSet::new(), NOW_UNIX_MS)
}

/// Nodes 1, 2 and 3 are the replicas of every partition, and then node 4 replaces node 3.
struct ReplicaChange {
    before: PartitionMap,
    after: PartitionMap,
    kept_tables: [ClaimTable; 2],
    joining_table: ClaimTable,
}

impl ReplicaChange {
    fn new() -> Self {
        let before = map(&PartitionMap::default(), &[1, 2, 3]);
        let after = map(&before, &[1, 2, 4]);
        let mut kept_tables = [1, 2].map(|number| ClaimTable::new(node(number), CAPACITY));
        kept_tables
            .iter_mut()
            .for_each(|table| table.apply(&before));
        let mut joining_table = ClaimTable::new(node(4), CAPACITY);
        joining_table.apply(&after);
        Self {
            before,
            after,
            kept_tables,
            joining_table,
        }
    }

    /// Copies claims to node 4 until node 4 has no outstanding requests.
    fn copy(&mut self) {
        loop {
            let requests = self.joining_table.copy_requests();
            let answerable_requests = requests.iter().filter(|(source, _)| *source != node(3));
            let mut received_page = false;
            for (source, request) in answerable_requests {
                let table_index = if *source == node(1) { 0 } else { 1 };
                let page = self.kept_tables[table_index].copy(request);
                self.joining_table.take_page(*source, &page);
                received_page = true;
            }
            if !received_page {
                return;
            }
        }
    }
}

fn key(number: u128) -> RequestKey {
    RequestKey {
        issued_unix_ms: NOW_UNIX_MS,
        digest: number,
    }
}

fn attempt(sequence: u64) -> AttemptId {
    AttemptId {
        instance: InstanceId(9),
        sequence,
    }
}

fn vote(table: &mut ClaimTable, map: &PartitionMap, key: RequestKey, sequence: u64) -> ClaimVote {
    vote_at(table, map, key, sequence, NOW_UNIX_MS)
}

fn vote_at(
    table: &mut ClaimTable,
    map: &PartitionMap,
    key: RequestKey,
    sequence: u64,
    now_unix_ms: u64,
) -> ClaimVote {
    let entry = map
        .entry(PartitionId::of(&key))
        .expect("the partition is in the map");
    let claim = Claim {
        key: key.into(),
        epoch: entry.epoch,
        run: 1,
        attempt: attempt(sequence).into(),
    };
    table.claim(&claim, now_unix_ms).vote
}

fn is_held(vote: &ClaimVote) -> bool {
    matches!(vote, ClaimVote::Held { .. })
}

#[test]
fn contested_run_is_never_granted() {
    let mut change = ReplicaChange::new();
    for (table, sequence) in change.kept_tables.iter_mut().zip([1, 2]) {
        let granted = ClaimVote::Granted { other_runs: 0 };
        assert_eq!(vote(table, &change.before, key(1), sequence), granted);
    }
    change.copy();
    for sequence in [1, 2, 3] {
        let vote = vote(&mut change.joining_table, &change.after, key(1), sequence);
        assert!(is_held(&vote), "{vote:?}");
    }
}

#[test]
fn copies_all_pages() {
    let mut change = ReplicaChange::new();
    let keys_in_partition = (0..).map(key);
    let keys_in_partition = keys_in_partition.filter(|key| PartitionId::of(key) == PartitionId(0));
    for key in keys_in_partition.take(MULTI_PAGE_KEYS) {
        vote(&mut change.kept_tables[0], &change.before, key, 1);
    }
    change.copy();
    assert_eq!(change.joining_table.status().keys, MULTI_PAGE_KEYS);
    assert_eq!(change.joining_table.status().not_synchronised, 0);
}

#[test]
fn copy_source_stops_voting_in_previous_epoch() {
    let mut change = ReplicaChange::new();
    change.copy();
    let vote = vote(&mut change.kept_tables[0], &change.before, key(1), 1);
    let reason = AbstainReason::StaleEpoch { current: 2 };
    assert_eq!(vote, ClaimVote::Abstains(reason));
}

#[test]
fn joining_replica_abstains_before_copy() {
    let mut change = ReplicaChange::new();
    let vote = vote(&mut change.joining_table, &change.after, key(1), 1);
    assert_eq!(vote, ClaimVote::Abstains(AbstainReason::NotSynchronised));
}

#[test]
fn remembers_keys_despite_clock_skew() {
    let mut change = ReplicaChange::new();
    for table in &mut change.kept_tables {
        vote(table, &change.before, key(1), 1);
        table.expire(NOW_UNIX_MS + WINDOW_MS + 2 * SKEW_MS - 1);
    }
    change.copy();
    let slow_clock_unix_ms = NOW_UNIX_MS + WINDOW_MS - 1;
    let vote = vote_at(
        &mut change.joining_table,
        &change.after,
        key(1),
        2,
        slow_clock_unix_ms,
    );
    assert!(is_held(&vote), "{vote:?}");
}

#[test]
fn clock_set_back_reopens_no_forgotten_keys() {
    let mut change = ReplicaChange::new();
    let table = &mut change.kept_tables[0];
    vote(table, &change.before, key(1), 1);
    table.expire(NOW_UNIX_MS + WINDOW_MS + 2 * SKEW_MS + 1);
    assert_eq!(table.status().keys, 0);
    let vote = vote(table, &change.before, key(1), 2);
    assert_eq!(vote, ClaimVote::Abstains(AbstainReason::KeyOutsideWindow));
}
