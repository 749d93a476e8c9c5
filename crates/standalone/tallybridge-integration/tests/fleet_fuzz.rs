//! What a fleet promises its callers holds through kills, freezes, cuts, delays, failing back ends,
//! planned stops and callers that give up or repeat, in any order.
//!
//! A few sequences with a fixed seed by default. A long run with fresh seeds:
//! `FLEET_FUZZ_SEED=$RANDOM PROPTEST_CASES=10000 cargo test --release -p tallybridge-integration
//! --test fleet_fuzz`

mod fleet;

use std::time::Duration;

use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, RngSeed},
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use tokio::runtime::{Builder, Runtime};

use fleet::{Fleet, NODES, backend::Mode, history::Kind};

const DEFAULT_CASES: u32 = 24;
const FIXED_SEED: u64 = 17;
/// Events of one sequence.
const EVENTS: std::ops::Range<usize> = 5..40;
/// Time that passes with each event, so that what it causes can begin.
const EVENT_TIME: Duration = Duration::from_millis(1);
/// Time after the last event in which everything in flight ends.
const SETTLE_TIME: Duration = Duration::from_secs(8);

/// What happens next. Numbers select a node or call out of those there are.
#[derive(Debug, Clone)]
enum Event {
    Call {
        kind: Kind,
        entry: usize,
        keyed: bool,
    },
    Burst {
        kind: Kind,
        entry: usize,
        calls: usize,
    },
    GiveUp(usize),
    Repeat {
        call: usize,
        entry: usize,
    },
    Kill(usize),
    Restart(usize),
    Freeze(usize),
    Cut {
        from: usize,
        to: usize,
    },
    Delay {
        from: usize,
        to: usize,
        milliseconds: u64,
    },
    Heal,
    Backend {
        node: usize,
        mode: Mode,
    },
    Service {
        service: usize,
        mode: Mode,
    },
    Stop(usize),
    Configure(usize),
    ConfigureLate(usize),
    Advance(u64),
}

fn kind() -> impl Strategy<Value = Kind> {
    prop_oneof![3 => Just(Kind::Payment), 2 => Just(Kind::Read), 2 => Just(Kind::Bulk)]
}

fn mode() -> impl Strategy<Value = Mode> {
    prop_oneof![
        3 => Just(Mode::Well),
        2 => Just(Mode::Slow),
        2 => Just(Mode::Broken),
        1 => Just(Mode::Unreachable),
        1 => Just(Mode::Shedding),
        1 => Just(Mode::Draining),
        1 => Just(Mode::Leaving),
    ]
}

/// Calls that come at once: some of them more than a queue holds.
fn burst() -> impl Strategy<Value = usize> {
    prop_oneof![6 => 4..24_usize, 1 => 70..100_usize]
}

fn event() -> BoxedStrategy<Event> {
    let node = || 0..NODES;
    let calls = prop_oneof![
        10 => (kind(), node(), any::<bool>())
            .prop_map(|(kind, entry, keyed)| Event::Call { kind, entry, keyed }),
        3 => (kind(), node(), burst())
            .prop_map(|(kind, entry, calls)| Event::Burst { kind, entry, calls }),
        2 => any::<usize>().prop_map(Event::GiveUp),
        5 => (any::<usize>(), node()).prop_map(|(call, entry)| Event::Repeat { call, entry }),
        10 => (0..60_u64).prop_map(Event::Advance),
        3 => (60..3_000_u64).prop_map(Event::Advance),
    ];
    let faults = prop_oneof![
        2 => node().prop_map(Event::Kill),
        3 => node().prop_map(Event::Restart),
        2 => node().prop_map(Event::Freeze),
        2 => (node(), node()).prop_map(|(from, to)| Event::Cut { from, to }),
        1 => (node(), node(), 1..400_u64)
            .prop_map(|(from, to, milliseconds)| Event::Delay { from, to, milliseconds }),
        3 => Just(Event::Heal),
        5 => (node(), mode()).prop_map(|(node, mode)| Event::Backend { node, mode }),
        3 => (0..3_usize, mode()).prop_map(|(service, mode)| Event::Service { service, mode }),
        2 => node().prop_map(Event::Stop),
        1 => node().prop_map(Event::Configure),
        1 => node().prop_map(Event::ConfigureLate),
    ];
    prop_oneof![3 => calls, 2 => faults].boxed()
}

/// Every event may come at any time, so the reference has only the seed of the sequence.
struct Sequences;

impl ReferenceStateMachine for Sequences {
    type State = u64;
    type Transition = Event;

    fn init_state() -> BoxedStrategy<u64> {
        any::<u64>().boxed()
    }

    fn transitions(_state: &u64) -> BoxedStrategy<Event> {
        event()
    }

    fn apply(state: u64, _event: &Event) -> u64 {
        state
    }
}

/// The fleet and the runtime on whose paused clock it runs.
struct Running {
    runtime: Runtime,
    fleet: Fleet,
}

impl Running {
    async fn carry_out(fleet: &mut Fleet, event: Event) {
        match event {
            Event::Call { kind, entry, keyed } => fleet.call(kind, entry, keyed),
            Event::Burst { kind, entry, calls } => {
                (0..calls).for_each(|_| fleet.call(kind, entry, false));
            }
            Event::GiveUp(call) => fleet.give_up(call),
            Event::Repeat { call, entry } => fleet.repeat(call, entry),
            Event::Kill(node) => fleet.kill(node),
            Event::Restart(node) => fleet.restart(node).await,
            Event::Freeze(node) => fleet.freeze(node),
            Event::Cut { from, to } => fleet.cut(from, to),
            Event::Delay {
                from,
                to,
                milliseconds,
            } => fleet.delay(from, to, milliseconds),
            Event::Heal => fleet.heal(),
            Event::Backend { node, mode } => fleet.set_mode(node, mode),
            Event::Service { service, mode } => fleet.set_service_mode(service, mode),
            Event::Stop(node) => fleet.stop(node),
            Event::Configure(node) => fleet.configure(node).await,
            Event::ConfigureLate(node) => fleet.configure_late(node).await,
            Event::Advance(milliseconds) => {
                fleet.advance(Duration::from_millis(milliseconds)).await;
            }
        }
        fleet.advance(EVENT_TIME).await;
    }
}

impl StateMachineTest for Running {
    type SystemUnderTest = Self;
    type Reference = Sequences;

    fn init_test(seed: &u64) -> Self {
        let runtime = Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build();
        let runtime = runtime.expect("a runtime");
        let fleet = runtime.block_on(Fleet::start(*seed));
        Self { runtime, fleet }
    }

    fn apply(mut running: Self, _seed: &u64, event: Event) -> Self {
        running
            .runtime
            .block_on(Self::carry_out(&mut running.fleet, event));
        running
    }

    /// The history keeps the time of everything, so one look at its end judges every event.
    fn teardown(mut running: Self, _seed: u64) {
        running.runtime.block_on(async {
            running.fleet.heal();
            running.fleet.advance(SETTLE_TIME).await;
        });
        running.fleet.check();
    }
}

fn config() -> Config {
    let cases = std::env::var("PROPTEST_CASES")
        .ok()
        .and_then(|cases| cases.parse().ok());
    let seed = std::env::var("FLEET_FUZZ_SEED")
        .ok()
        .and_then(|seed| seed.parse().ok());
    Config {
        cases: cases.unwrap_or(DEFAULT_CASES),
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(seed.unwrap_or(FIXED_SEED)),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn the_guarantees_hold_through_any_sequence(sequential EVENTS => Running);
}
