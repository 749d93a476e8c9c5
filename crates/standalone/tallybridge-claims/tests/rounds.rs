//! Claim rounds ignore late and duplicate replies and never run a call after its deadline.

use std::collections::BTreeSet;

use tallybridge_claims::{
    Candidate, ClaimRound, PartitionId, PartitionMap, Presence, Progress, Verdict, plan,
};
use tallybridge_core::{AttemptId, InstanceId, NodeId, RequestKey};
use tallybridge_wire::claim::{ClaimReply, ClaimVote, RunState};

const NOW_UNIX_MS: u64 = 1_800_000_000_000;
const KEY: RequestKey = RequestKey {
    issued_unix_ms: NOW_UNIX_MS,
    digest: 1,
};

fn attempt(sequence: u64) -> AttemptId {
    AttemptId {
        instance: InstanceId(9),
        sequence,
    }
}

fn round(max_runs: u8) -> ClaimRound {
    let candidate = |number: u16| Candidate {
        node: NodeId {
            address: ([127, 0, 0, 1], number).into(),
            instance: InstanceId(number.into()),
        },
        region: "south".into(),
        zone: "a".into(),
        rack: String::new(),
        presence: Presence::Live,
    };
    let candidates: Vec<Candidate> = (1..=3).map(candidate).collect();
    let map = plan(
        &PartitionMap::default(),
        &candidates,
        &BTreeSet::new(),
        NOW_UNIX_MS,
    );
    let entry = map
        .entry(PartitionId::of(&KEY))
        .expect("the partition is in the map");
    ClaimRound::new(entry, KEY, attempt(1), max_runs)
}

fn reply(epoch: u64, run: u8, vote: ClaimVote) -> ClaimReply {
    ClaimReply { epoch, run, vote }
}

fn granted(epoch: u64, run: u8) -> ClaimReply {
    reply(epoch, run, ClaimVote::Granted { other_runs: 0 })
}

fn held(run: u8) -> ClaimReply {
    let vote = ClaimVote::Held {
        attempt: attempt(2).into(),
        state: RunState::Running,
    };
    reply(1, run, vote)
}

#[test]
fn ignores_grant_of_earlier_run() {
    let mut round = round(2);
    let replicas = round.replicas().to_vec();
    round.record(replicas[1], &held(1));
    assert_eq!(round.record(replicas[2], &held(1)), Progress::Claim);
    round.record(replicas[1], &granted(1, 2));
    assert_eq!(round.record(replicas[0], &granted(1, 1)), Progress::Wait);
    assert_eq!(round.record(replicas[0], &granted(1, 2)), Progress::Decided);
    assert_eq!(*round.verdict(), Verdict::Granted { run: 2 });
}

#[test]
fn ignores_duplicate_grant_and_other_epoch() {
    let mut round = round(1);
    let replicas = round.replicas().to_vec();
    round.record(replicas[0], &granted(1, 1));
    assert_eq!(round.record(replicas[0], &granted(1, 1)), Progress::Wait);
    assert_eq!(round.record(replicas[1], &granted(2, 1)), Progress::Wait);
}

#[test]
fn refuses_run_at_deadline() {
    let mut round = round(1);
    let deadline = NOW_UNIX_MS + 100;
    assert!(
        !round.may_run(deadline, NOW_UNIX_MS),
        "the call may not run before the claim is granted"
    );
    for replica in round.replicas().to_vec() {
        round.record(replica, &granted(1, 1));
    }
    assert!(round.may_run(deadline, deadline - 1));
    assert!(!round.may_run(deadline, deadline));
}
