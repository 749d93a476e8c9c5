//! Late and repeated replies do not count twice.

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
    let one = |number: u16| Candidate {
        node: NodeId {
            address: ([127, 0, 0, 1], number).into(),
            instance: InstanceId(number.into()),
        },
        region: "south".into(),
        zone: "a".into(),
        rack: String::new(),
        presence: Presence::Live,
    };
    let candidates: Vec<Candidate> = (1..=3).map(one).collect();
    let map = plan(
        &PartitionMap::default(),
        &candidates,
        &BTreeSet::new(),
        NOW_UNIX_MS,
    );
    let entry = map.entry(PartitionId::of(&KEY)).expect("planned");
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
fn a_grant_of_an_earlier_run_does_not_count() {
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
fn a_repeated_grant_and_one_of_another_epoch_do_not_count() {
    let mut round = round(1);
    let replicas = round.replicas().to_vec();
    round.record(replicas[0], &granted(1, 1));
    assert_eq!(round.record(replicas[0], &granted(1, 1)), Progress::Wait);
    assert_eq!(round.record(replicas[1], &granted(2, 1)), Progress::Wait);
}

#[test]
fn a_paused_executor_does_not_run_after_its_deadline() {
    let mut round = round(1);
    let deadline = NOW_UNIX_MS + 100;
    assert!(
        !round.may_run(deadline, NOW_UNIX_MS),
        "nothing is granted yet"
    );
    for replica in round.replicas().to_vec() {
        round.record(replica, &granted(1, 1));
    }
    assert!(round.may_run(deadline, deadline - 1));
    assert!(!round.may_run(deadline, deadline));
}
