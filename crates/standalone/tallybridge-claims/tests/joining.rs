//! What a replica learns when it joins, and what it may forget, step by step.

use std::collections::BTreeSet;

use tallybridge_claims::{
    Candidate, ClaimTable, PartitionId, PartitionMap, Presence, SKEW_MS, WINDOW_MS, plan,
};
use tallybridge_core::{AttemptId, InstanceId, NodeId, RequestKey};
use tallybridge_wire::claim::{AbstainReason, Claim, ClaimVote};

const NOW_UNIX_MS: u64 = 1_800_000_000_000;
const CAPACITY: usize = 10_000;
/// More than fit in one page.
const MANY_KEYS: usize = 300;

fn node(number: u64) -> NodeId {
    let port = u16::try_from(number).expect("few nodes");
    NodeId {
        address: ([127, 0, 0, 1], port).into(),
        instance: InstanceId(number),
    }
}

fn map(current: &PartitionMap, nodes: &[u64]) -> PartitionMap {
    let one = |number: &u64| Candidate {
        node: node(*number),
        region: "south".into(),
        zone: "a".into(),
        rack: String::new(),
        presence: Presence::Live,
    };
    let candidates: Vec<Candidate> = nodes.iter().map(one).collect();
    plan(current, &candidates, &BTreeSet::new(), NOW_UNIX_MS)
}

/// Nodes 1, 2 and 3 hold every partition; then node 4 takes the place of node 3.
struct Change {
    before: PartitionMap,
    after: PartitionMap,
    stayed: [ClaimTable; 2],
    joined: ClaimTable,
}

impl Change {
    fn new() -> Self {
        let before = map(&PartitionMap::default(), &[1, 2, 3]);
        let after = map(&before, &[1, 2, 4]);
        let mut stayed = [1, 2].map(|number| ClaimTable::new(node(number), CAPACITY));
        stayed.iter_mut().for_each(|table| table.apply(&before));
        let mut joined = ClaimTable::new(node(4), CAPACITY);
        joined.apply(&after);
        Self {
            before,
            after,
            stayed,
            joined,
        }
    }

    /// Node 4 copies until it asks for nothing more.
    fn copy(&mut self) {
        loop {
            let requests = self.joined.copy_requests();
            let answered = requests.iter().filter(|(source, _)| *source != node(3));
            let mut asked = false;
            for (source, request) in answered {
                let table = if *source == node(1) { 0 } else { 1 };
                let page = self.stayed[table].copy(request);
                self.joined.take_page(*source, &page);
                asked = true;
            }
            if !asked {
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
    let entry = map.entry(PartitionId::of(&key)).expect("planned");
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
fn a_run_that_two_replicas_gave_to_different_attempts_is_given_to_nobody() {
    let mut change = Change::new();
    for (table, sequence) in change.stayed.iter_mut().zip([1, 2]) {
        let granted = ClaimVote::Granted { other_runs: 0 };
        assert_eq!(vote(table, &change.before, key(1), sequence), granted);
    }
    change.copy();
    for sequence in [1, 2, 3] {
        let vote = vote(&mut change.joined, &change.after, key(1), sequence);
        assert!(is_held(&vote), "{vote:?}");
    }
}

#[test]
fn copies_of_many_pages_are_whole() {
    let mut change = Change::new();
    let in_one_partition = (0..).map(key);
    let in_one_partition = in_one_partition.filter(|key| PartitionId::of(key) == PartitionId(0));
    for key in in_one_partition.take(MANY_KEYS) {
        vote(&mut change.stayed[0], &change.before, key, 1);
    }
    change.copy();
    assert_eq!(change.joined.status().keys, MANY_KEYS);
    assert_eq!(change.joined.status().not_synchronised, 0);
}

#[test]
fn a_replica_that_was_copied_from_has_left_the_epoch_before() {
    let mut change = Change::new();
    change.copy();
    let vote = vote(&mut change.stayed[0], &change.before, key(1), 1);
    let reason = AbstainReason::StaleEpoch { current: 2 };
    assert_eq!(vote, ClaimVote::Abstains(reason));
}

#[test]
fn a_replica_does_not_vote_before_it_has_copied() {
    let mut change = Change::new();
    let vote = vote(&mut change.joined, &change.after, key(1), 1);
    assert_eq!(vote, ClaimVote::Abstains(AbstainReason::NotSynchronised));
}

#[test]
fn a_clock_that_is_ahead_forgets_nothing_that_one_behind_would_grant() {
    let mut change = Change::new();
    for table in &mut change.stayed {
        vote(table, &change.before, key(1), 1);
        table.expire(NOW_UNIX_MS + WINDOW_MS + 2 * SKEW_MS - 1);
    }
    change.copy();
    let behind = NOW_UNIX_MS + WINDOW_MS - 1;
    let vote = vote_at(&mut change.joined, &change.after, key(1), 2, behind);
    assert!(is_held(&vote), "{vote:?}");
}

#[test]
fn a_clock_that_is_set_back_does_not_reopen_forgotten_keys() {
    let mut change = Change::new();
    let table = &mut change.stayed[0];
    vote(table, &change.before, key(1), 1);
    table.expire(NOW_UNIX_MS + WINDOW_MS + 2 * SKEW_MS + 1);
    assert_eq!(table.status().keys, 0);
    let vote = vote(table, &change.before, key(1), 2);
    assert_eq!(vote, ClaimVote::Abstains(AbstainReason::KeyOutsideWindow));
}
