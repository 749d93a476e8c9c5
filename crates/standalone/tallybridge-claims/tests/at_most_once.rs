//! Requests run at most as often as allowed and `not-run` is true, through every fault.
//!
//! A few hundred sequences with a fixed seed by default. A long run with fresh seeds:
//! `PROPTEST_CASES=10000 cargo test --release -p tallybridge-claims --test at_most_once`
//! (a given `PROPTEST_RNG_SEED` repeats one).

mod fleet;

use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, RngSeed},
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use fleet::Fleet;
use tallybridge_claims::{SKEW_MS, WINDOW_MS};

const DEFAULT_CASES: u32 = 256;
/// How long to look for a shorter sequence after a failure, in milliseconds.
const SHRINK_MS: u32 = 15_000;
const FIXED_SEED: u64 = 5;
/// Runs that each key allows: a payment, and two calls that may be repeated.
const MAX_RUNS: [u8; 3] = [1, 2, 3];

/// What happens next. Numbers select a node, key, attempt or message out of those there are.
#[derive(Debug, Clone)]
enum Event {
    Call {
        node: usize,
        key: usize,
    },
    /// A call of which one node hears late.
    CallThrough {
        node: usize,
        key: usize,
        held_up: usize,
    },
    CallRefused {
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
    Settle,
    Lose(usize),
    Repeat(usize),
    Freeze(usize),
    Thaw(usize),
    Suspect(usize),
    Trust(usize),
    Kill(usize),
    Plan {
        skew_ms: i64,
    },
    /// A plan that one node does not hear of yet.
    Reconfigure {
        lagging: usize,
    },
    Learn(usize),
    Copy(usize),
    Report(usize),
    Advance(u64),
    StepClock {
        node: usize,
        skew_ms: i64,
    },
    Expire(usize),
}

fn skew() -> impl Strategy<Value = i64> {
    let limit = i64::try_from(SKEW_MS).expect("small");
    prop_oneof![Just(0), Just(limit), Just(-limit), -limit..=limit]
}

fn event() -> BoxedStrategy<Event> {
    let any = any::<usize>;
    let target = || (0..16_usize, 0..MAX_RUNS.len());
    let calls = prop_oneof![
        8 => target().prop_map(|(node, key)| Event::Call { node, key }),
        6 => (target(), 0..16_usize).prop_map(|((node, key), held_up)| Event::CallThrough {
            node,
            key,
            held_up,
        }),
        3 => target().prop_map(|(node, key)| Event::CallRefused { node, key }),
        1 => (0..MAX_RUNS.len(), skew()).prop_map(|(key, skew_ms)| Event::RenewKey { key, skew_ms }),
        8 => any().prop_map(Event::Run),
        3 => any().prop_map(Event::Finish),
        4 => any().prop_map(Event::Refuse),
        3 => any().prop_map(Event::Resend),
        2 => any().prop_map(Event::Fail),
    ];
    let messages = prop_oneof![
        24 => any().prop_map(Event::Deliver),
        6 => any().prop_map(Event::DeliverTo),
        2 => Just(Event::Settle),
        2 => any().prop_map(Event::Lose),
        3 => any().prop_map(Event::Repeat),
    ];
    let faults = prop_oneof![
        1 => any().prop_map(Event::Freeze),
        2 => any().prop_map(Event::Thaw),
        2 => any().prop_map(Event::Suspect),
        2 => any().prop_map(Event::Trust),
        2 => any().prop_map(Event::Kill),
        4 => skew().prop_map(|skew_ms| Event::Plan { skew_ms }),
        4 => any().prop_map(|lagging| Event::Reconfigure { lagging }),
        6 => any().prop_map(Event::Learn),
        5 => any().prop_map(Event::Copy),
        3 => any().prop_map(Event::Report),
        2 => (0..4 * SKEW_MS).prop_map(Event::Advance),
        1 => prop_oneof![Just(WINDOW_MS / 2), Just(WINDOW_MS - SKEW_MS)].prop_map(Event::Advance),
        1 => (any(), skew()).prop_map(|(node, skew_ms)| Event::StepClock { node, skew_ms }),
        2 => any().prop_map(Event::Expire),
    ];
    prop_oneof![3 => calls, 4 => messages, 2 => faults].boxed()
}

/// Any event may follow any other; the state is the nodes' clock skews alone.
struct Events;

impl ReferenceStateMachine for Events {
    type State = Vec<i64>;
    type Transition = Event;

    fn init_state() -> BoxedStrategy<Self::State> {
        prop::collection::vec(skew(), 4..=6).boxed()
    }

    fn transitions(_: &Self::State) -> BoxedStrategy<Event> {
        event()
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
        Fleet::new(skews_ms, &MAX_RUNS)
    }

    fn apply(mut fleet: Fleet, _: &Vec<i64>, event: Event) -> Fleet {
        happen(&mut fleet, &event);
        fleet
    }

    fn teardown(mut fleet: Fleet, _: Vec<i64>) {
        fleet.heals();
    }
}

fn happen(fleet: &mut Fleet, event: &Event) {
    match *event {
        Event::Call { node, key } => fleet.call(node, key, false),
        Event::CallThrough { node, key, held_up } => fleet.call_through(node, key, held_up),
        Event::CallRefused { node, key } => fleet.call(node, key, true),
        Event::RenewKey { key, skew_ms } => fleet.renew_key(key, skew_ms),
        Event::Run(one) => fleet.run(one),
        Event::Finish(one) => fleet.finish(one),
        Event::Refuse(one) => fleet.refuse(one),
        Event::Resend(one) => fleet.resend(one),
        Event::Fail(one) => fleet.fail(one),
        Event::Deliver(one) => fleet.deliver(one),
        Event::DeliverTo(node) => fleet.deliver_to(node),
        Event::Settle => fleet.settle(),
        Event::Lose(one) => fleet.lose(one),
        Event::Repeat(one) => fleet.repeat(one),
        Event::Freeze(node) => fleet.freeze(node, true),
        Event::Thaw(node) => fleet.freeze(node, false),
        Event::Suspect(node) => fleet.suspect(node, true),
        Event::Trust(node) => fleet.suspect(node, false),
        Event::Kill(node) => fleet.kill(node),
        Event::Plan { skew_ms } => fleet.plan(skew_ms),
        Event::Reconfigure { lagging } => fleet.reconfigure(lagging),
        Event::Learn(node) => fleet.learn(node),
        Event::Copy(node) => fleet.copy(node),
        Event::Report(node) => fleet.report(node),
        Event::Advance(milliseconds) => fleet.advance(milliseconds),
        Event::StepClock { node, skew_ms } => fleet.step_clock(node, skew_ms),
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
        max_shrink_time: SHRINK_MS,
        max_shrink_iters: u32::MAX,
        ..defaults
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn requests_run_at_most_as_often_as_allowed(sequential 40..200 => AtMostOnce);
}

/// Runs a sequence that once failed.
fn replays(events: &[Event]) {
    let mut fleet = Fleet::new(&[0; 4], &MAX_RUNS);
    for event in events {
        happen(&mut fleet, event);
    }
    fleet.heals();
}

#[test]
fn a_replica_that_leaves_is_copied_from() {
    replays(&[
        Event::Suspect(2),
        Event::Plan { skew_ms: 0 },
        Event::Kill(0),
    ]);
}

#[test]
fn a_survivor_that_missed_a_reset_is_not_counted_on() {
    replays(&[
        Event::Kill(0),
        Event::Plan { skew_ms: 0 },
        Event::Kill(2),
        Event::Plan { skew_ms: 0 },
        Event::Kill(2),
    ]);
}

#[test]
fn a_request_from_before_a_loss_does_not_run_again() {
    // Nodes 0, 1 and 2 hold the partition; node 0 does not hear of the run.
    replays(&[
        Event::CallThrough {
            node: 3,
            key: 0,
            held_up: 0,
        },
        Event::Lose(0),
        Event::Kill(1),
        Event::Kill(2),
        Event::Reconfigure { lagging: 3 },
        Event::Reconfigure { lagging: 1 },
        Event::CallThrough {
            node: 0,
            key: 0,
            held_up: 3,
        },
    ]);
}
