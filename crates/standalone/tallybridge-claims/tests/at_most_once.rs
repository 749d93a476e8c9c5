//! Random faults never cause more runs than allowed or a false `not-run` outcome.
//!
//! By default, the test runs a few hundred sequences with a fixed seed. To run more sequences with
//! random seeds:
//! `PROPTEST_CASES=10000 cargo test --release -p tallybridge-claims --test at_most_once`
//! (set `PROPTEST_RNG_SEED` as well to repeat a run).

mod fleet;

use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, RngSeed},
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use fleet::Fleet;
use tallybridge_claims::{SKEW_MS, WINDOW_MS};

const DEFAULT_CASES: u32 = 256;
/// Time limit for shrinking a failing sequence, in milliseconds.
const MAX_SHRINK_MS: u32 = 15_000;
const FIXED_SEED: u64 = 5;
/// Allowed runs of each key: one call that must not be repeated, and two that may be.
const MAX_RUNS_PER_KEY: [u8; 3] = [1, 2, 3];

/// A step of the simulation. Each `usize` selects an existing node, key, attempt or message.
#[derive(Debug, Clone)]
enum Event {
    Call {
        node: usize,
        key: usize,
    },
    /// Runs a call at once, except that messages to one node are delayed.
    CallWithDelayedNode {
        node: usize,
        key: usize,
        delayed_node: usize,
    },
    RefusedCall {
        node: usize,
        key: usize,
    },
    RenewKey {
        key: usize,
        skew_ms: i64,
    },
    Run(usize),
    Finish(usize),
    Refuse(usize),
    Resend(usize),
    Fail(usize),
    Deliver(usize),
    DeliverTo(usize),
    DeliverAll,
    DropMessage(usize),
    DuplicateMessage(usize),
    Freeze(usize),
    Unfreeze(usize),
    Suspect(usize),
    ClearSuspicion(usize),
    ReplaceNode(usize),
    Plan {
        skew_ms: i64,
    },
    /// Plans a map that all nodes but one apply at once.
    Reconfigure {
        lagging_node: usize,
    },
    ApplyMap(usize),
    Copy(usize),
    Report(usize),
    Advance(u64),
    SetClockSkew {
        node: usize,
        skew_ms: i64,
    },
    Expire(usize),
}

fn skew_strategy() -> impl Strategy<Value = i64> {
    let limit = i64::try_from(SKEW_MS).expect("the clock skew limit fits in i64");
    prop_oneof![Just(0), Just(limit), Just(-limit), -limit..=limit]
}

fn event_strategy() -> BoxedStrategy<Event> {
    let selector = any::<usize>;
    let node_and_key = || (0..16_usize, 0..MAX_RUNS_PER_KEY.len());
    let calls = prop_oneof![
        8 => node_and_key().prop_map(|(node, key)| Event::Call { node, key }),
        6 => (node_and_key(), 0..16_usize)
            .prop_map(|((node, key), delayed_node)| Event::CallWithDelayedNode {
                node,
                key,
                delayed_node,
            }),
        3 => node_and_key().prop_map(|(node, key)| Event::RefusedCall { node, key }),
        1 => (0..MAX_RUNS_PER_KEY.len(), skew_strategy())
            .prop_map(|(key, skew_ms)| Event::RenewKey { key, skew_ms }),
        8 => selector().prop_map(Event::Run),
        3 => selector().prop_map(Event::Finish),
        4 => selector().prop_map(Event::Refuse),
        3 => selector().prop_map(Event::Resend),
        2 => selector().prop_map(Event::Fail),
    ];
    let messages = prop_oneof![
        24 => selector().prop_map(Event::Deliver),
        6 => selector().prop_map(Event::DeliverTo),
        2 => Just(Event::DeliverAll),
        2 => selector().prop_map(Event::DropMessage),
        3 => selector().prop_map(Event::DuplicateMessage),
    ];
    let faults = prop_oneof![
        1 => selector().prop_map(Event::Freeze),
        2 => selector().prop_map(Event::Unfreeze),
        2 => selector().prop_map(Event::Suspect),
        2 => selector().prop_map(Event::ClearSuspicion),
        2 => selector().prop_map(Event::ReplaceNode),
        4 => skew_strategy().prop_map(|skew_ms| Event::Plan { skew_ms }),
        4 => selector().prop_map(|lagging_node| Event::Reconfigure { lagging_node }),
        6 => selector().prop_map(Event::ApplyMap),
        5 => selector().prop_map(Event::Copy),
        3 => selector().prop_map(Event::Report),
        2 => (0..4 * SKEW_MS).prop_map(Event::Advance),
        1 => prop_oneof![Just(WINDOW_MS / 2), Just(WINDOW_MS - SKEW_MS)].prop_map(Event::Advance),
        1 => (selector(), skew_strategy())
            .prop_map(|(node, skew_ms)| Event::SetClockSkew { node, skew_ms }),
        2 => selector().prop_map(Event::Expire),
    ];
    prop_oneof![3 => calls, 4 => messages, 2 => faults].boxed()
}

/// Generates events in any order. The state contains only the clock skews of the nodes.
struct Events;

impl ReferenceStateMachine for Events {
    type State = Vec<i64>;
    type Transition = Event;

    fn init_state() -> BoxedStrategy<Self::State> {
        prop::collection::vec(skew_strategy(), 4..=6).boxed()
    }

    fn transitions(_: &Self::State) -> BoxedStrategy<Event> {
        event_strategy()
    }

    fn apply(state: Self::State, _: &Event) -> Self::State {
        state
    }
}

struct AtMostOnce;

impl StateMachineTest for AtMostOnce {
    type SystemUnderTest = Fleet;
    type Reference = Events;

    fn init_test(skews_ms: &Vec<i64>) -> Fleet {
        Fleet::new(skews_ms, &MAX_RUNS_PER_KEY)
    }

    fn apply(mut fleet: Fleet, _: &Vec<i64>, event: Event) -> Fleet {
        apply_event(&mut fleet, &event);
        fleet
    }

    fn teardown(mut fleet: Fleet, _: Vec<i64>) {
        fleet.assert_recovers();
    }
}

fn apply_event(fleet: &mut Fleet, event: &Event) {
    match *event {
        Event::Call { node, key } => fleet.call(node, key, false),
        Event::CallWithDelayedNode {
            node,
            key,
            delayed_node,
        } => fleet.call_with_delayed_node(node, key, delayed_node),
        Event::RefusedCall { node, key } => fleet.call(node, key, true),
        Event::RenewKey { key, skew_ms } => fleet.renew_key(key, skew_ms),
        Event::Run(selector) => fleet.run(selector),
        Event::Finish(selector) => fleet.finish(selector),
        Event::Refuse(selector) => fleet.refuse(selector),
        Event::Resend(selector) => fleet.resend(selector),
        Event::Fail(selector) => fleet.fail(selector),
        Event::Deliver(selector) => fleet.deliver(selector),
        Event::DeliverTo(node) => fleet.deliver_to(node),
        Event::DeliverAll => fleet.deliver_all(),
        Event::DropMessage(selector) => fleet.drop_message(selector),
        Event::DuplicateMessage(selector) => fleet.duplicate_message(selector),
        Event::Freeze(node) => fleet.freeze(node, true),
        Event::Unfreeze(node) => fleet.freeze(node, false),
        Event::Suspect(node) => fleet.suspect(node, true),
        Event::ClearSuspicion(node) => fleet.suspect(node, false),
        Event::ReplaceNode(node) => fleet.replace_node(node),
        Event::Plan { skew_ms } => fleet.plan(skew_ms),
        Event::Reconfigure { lagging_node } => fleet.reconfigure(lagging_node),
        Event::ApplyMap(node) => fleet.apply_map(node),
        Event::Copy(node) => fleet.copy(node),
        Event::Report(node) => fleet.report(node),
        Event::Advance(duration_ms) => fleet.advance(duration_ms),
        Event::SetClockSkew { node, skew_ms } => fleet.set_clock_skew(node, skew_ms),
        Event::Expire(node) => fleet.expire(node),
    }
}

fn config() -> Config {
    let defaults = Config::default();
    let cases = std::env::var("PROPTEST_CASES").ok();
    let rng_seed = match cases {
        Some(_) => defaults.rng_seed,
        None => RngSeed::Fixed(FIXED_SEED),
    };
    Config {
        cases: cases.map_or(DEFAULT_CASES, |_| defaults.cases),
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed,
        failure_persistence: None,
        max_shrink_time: MAX_SHRINK_MS,
        max_shrink_iters: u32::MAX,
        ..defaults
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn runs_never_exceed_allowed_count(sequential 40..200 => AtMostOnce);
}

fn replay_events(events: &[Event]) {
    let mut fleet = Fleet::new(&[0; 4], &MAX_RUNS_PER_KEY);
    for event in events {
        apply_event(&mut fleet, event);
    }
    fleet.assert_recovers();
}

#[test]
fn joining_replica_copies_from_leaving_replica() {
    replay_events(&[
        Event::Suspect(2),
        Event::Plan { skew_ms: 0 },
        Event::ReplaceNode(0),
    ]);
}

#[test]
fn survivor_unaware_of_reset_is_not_synchronised() {
    replay_events(&[
        Event::ReplaceNode(0),
        Event::Plan { skew_ms: 0 },
        Event::ReplaceNode(2),
        Event::Plan { skew_ms: 0 },
        Event::ReplaceNode(2),
    ]);
}

#[test]
fn request_before_reset_does_not_run_again() {
    // Nodes 0, 1 and 2 are the replicas; node 0 does not receive the claim.
    replay_events(&[
        Event::CallWithDelayedNode {
            node: 3,
            key: 0,
            delayed_node: 0,
        },
        Event::DropMessage(0),
        Event::ReplaceNode(1),
        Event::ReplaceNode(2),
        Event::Reconfigure { lagging_node: 3 },
        Event::Reconfigure { lagging_node: 1 },
        Event::CallWithDelayedNode {
            node: 0,
            key: 0,
            delayed_node: 3,
        },
    ]);
}
