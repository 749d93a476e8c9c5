//! Whatever happens, once the network is whole every node believes what is true; a leaving node is
//! known to be leaving within 3 s; no belief goes back.
//!
//! A long run: `PROPTEST_CASES=5000 cargo test --release -p tallybridge-membership --test
//! convergence`.

mod support;

use std::time::Duration;

use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, RngSeed},
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use support::{Network, truth};

const SLOTS: usize = 8;
const ZONES: usize = 4;
const NETWORK_SEED: u64 = 0x7a11;

/// Time after which a whole and quiet network has settled. The slowest way: local health 8 at the
/// end of a partition, a whole zone suspected and held for 3 × 16 s, then refuted or declared.
const SETTLE: Duration = Duration::from_secs(150);

/// Time within which all know that a node is leaving.
const LEAVE_BOUND: Duration = Duration::from_secs(3);

/// Time that a departed process still tells of it.
const LAST_WORDS: Duration = Duration::from_secs(1);

#[derive(Debug, Clone)]
enum Transition {
    Kill(usize),
    /// Starts the slot's process anew, as another instance at the same address.
    Restart(usize),
    Freeze(usize),
    Thaw(usize),
    Leave(usize),
    Depart(usize),
    /// Cuts a zone off another, in one direction.
    CutOneWay(usize, usize),
    /// Cuts the first zones off the others.
    CutApart(usize),
    Loss(u8),
    Duplication(u8),
    Jitter(u16),
    MakeWhole,
    Wait(u16),
    /// Makes the network whole, waits and compares.
    Settle,
}

/// Slots in which a process runs; the rest of the truth is with the processes themselves.
#[derive(Debug, Clone)]
struct Running([bool; SLOTS]);

impl ReferenceStateMachine for Running {
    type State = Self;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self([true; SLOTS])).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Transition> {
        let slot = 0..SLOTS;
        let zone = 0..ZONES;
        prop_oneof![
            2 => slot.clone().prop_map(Transition::Kill),
            4 => slot.clone().prop_map(Transition::Restart),
            3 => slot.clone().prop_map(Transition::Freeze),
            3 => slot.clone().prop_map(Transition::Thaw),
            3 => slot.clone().prop_map(Transition::Leave),
            1 => slot.prop_map(Transition::Depart),
            2 => (zone.clone(), zone).prop_map(|(from, to)| Transition::CutOneWay(from, to)),
            2 => (1..ZONES).prop_map(Transition::CutApart),
            1 => (0..40u8).prop_map(Transition::Loss),
            1 => (0..40u8).prop_map(Transition::Duplication),
            1 => (0..1500u16).prop_map(Transition::Jitter),
            2 => Just(Transition::MakeWhole),
            6 => (0..30_000u16).prop_map(Transition::Wait),
            1 => Just(Transition::Settle),
        ]
        .boxed()
    }

    fn preconditions(state: &Self, transition: &Transition) -> bool {
        match transition {
            Transition::Kill(slot) | Transition::Depart(slot) => {
                state.0[*slot] && state.0.iter().filter(|runs| **runs).count() > 2
            }
            _ => true,
        }
    }

    fn apply(mut state: Self, transition: &Transition) -> Self {
        match transition {
            Transition::Kill(slot) | Transition::Depart(slot) => state.0[*slot] = false,
            Transition::Restart(slot) => state.0[*slot] = true,
            _ => {}
        }
        state
    }
}

struct Fleet;

impl StateMachineTest for Fleet {
    type SystemUnderTest = Network;
    type Reference = Running;

    fn init_test(_: &Running) -> Network {
        let mut network = Network::new(SLOTS, ZONES, NETWORK_SEED);
        network.start_all();
        network.run(Duration::from_secs(10));
        network
    }

    fn apply(mut network: Network, _: &Running, transition: Transition) -> Network {
        match transition {
            Transition::Kill(slot) => network.kill(slot),
            Transition::Restart(slot) => {
                network.start(slot);
            }
            Transition::Freeze(slot) => network.freeze(slot),
            Transition::Thaw(slot) => network.thaw(slot),
            Transition::Leave(slot) => leave(&mut network, slot),
            Transition::Depart(slot) => depart(&mut network, slot),
            Transition::CutOneWay(from, to) => network.cut(from, to),
            Transition::CutApart(zones) => cut_apart(&mut network, zones),
            Transition::Loss(percent) => network.weather.loss = f64::from(percent) / 100.0,
            Transition::Duplication(percent) => {
                network.weather.duplication = f64::from(percent) / 100.0;
            }
            Transition::Jitter(millis) => {
                network.weather.jitter = Duration::from_millis(millis.into());
            }
            Transition::MakeWhole => network.make_whole(),
            Transition::Wait(millis) => network.run(Duration::from_millis(millis.into())),
            Transition::Settle => settle(&mut network),
        }
        network
    }

    fn teardown(mut network: Network, _: Running) {
        settle(&mut network);
    }
}

/// Leaves; where nothing is wrong beforehand, all must know within the bound.
fn leave(network: &mut Network, slot: usize) {
    let agreed = network.is_whole() && is_calm(network) && truth::agrees(network);
    network.leave(slot);
    if agreed {
        network.run(LEAVE_BOUND);
        truth::assert_agrees(network);
    }
}

/// Whether datagrams arrive in order of a usual network.
fn is_calm(network: &Network) -> bool {
    network.weather.jitter <= Duration::from_millis(100)
}

fn depart(network: &mut Network, slot: usize) {
    network.thaw(slot);
    network.depart(slot);
    network.run(LAST_WORDS);
    network.kill(slot);
}

fn cut_apart(network: &mut Network, zones: usize) {
    for from in 0..zones {
        for to in zones..ZONES {
            network.cut(from, to);
            network.cut(to, from);
        }
    }
}

fn settle(network: &mut Network) {
    network.make_whole();
    network.weather.duplication = 0.0;
    network.weather.jitter = Duration::from_millis(20);
    network.run(SETTLE);
    truth::assert_agrees(network);
}

fn cases() -> u32 {
    const DEFAULT_CASES: u32 = 48;
    std::env::var("PROPTEST_CASES")
        .ok()
        .and_then(|cases| cases.parse().ok())
        .unwrap_or(DEFAULT_CASES)
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: cases(),
        max_shrink_iters: 300,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(0x5717),
        ..Config::default()
    })]

    #[test]
    fn a_whole_network_believes_what_is_true(sequential 1..24 => Fleet);
}
