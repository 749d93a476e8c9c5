//! After arbitrary failures, every table converges to the actual state once the network is healed.
//! A leaving node is recorded as leaving everywhere within 3 s. No record is replaced by an older
//! one.
//!
//! Example of a longer run: `PROPTEST_CASES=5000 cargo test --release -p tallybridge-membership
//! --test convergence`.

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

/// Time within which a healed network must converge. The slowest case is a partition that ends with
/// a local health score of 8 and a suspected zone, whose members have the longest time to refute.
const CONVERGENCE_TIME: Duration = Duration::from_secs(150);

/// Time within which all nodes must record a node as leaving.
const LEAVE_BOUND: Duration = Duration::from_secs(3);

/// Time that a process keeps running after announcing that it left.
const DEPARTURE_RUNTIME: Duration = Duration::from_secs(1);

#[derive(Debug, Clone)]
enum Transition {
    Kill(usize),
    /// Replaces the slot's process with a new instance at the same address.
    Restart(usize),
    Freeze(usize),
    Thaw(usize),
    Leave(usize),
    Depart(usize),
    /// Drops the datagrams from the first zone to the second.
    CutOneWay(usize, usize),
    /// Separates the given number of zones from the other zones in both directions.
    SeparateZones(usize),
    Loss(u8),
    Duplication(u8),
    Jitter(u16),
    Heal,
    Wait(u16),
    /// Heals the network, waits for convergence and checks all tables.
    HealAndCheck,
}

/// Whether a process runs in each slot; the network holds the rest of the state.
#[derive(Debug, Clone)]
struct RunningSlots([bool; SLOTS]);

impl ReferenceStateMachine for RunningSlots {
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
            2 => (1..ZONES).prop_map(Transition::SeparateZones),
            1 => (0..40u8).prop_map(Transition::Loss),
            1 => (0..40u8).prop_map(Transition::Duplication),
            1 => (0..1500u16).prop_map(Transition::Jitter),
            2 => Just(Transition::Heal),
            6 => (0..30_000u16).prop_map(Transition::Wait),
            1 => Just(Transition::HealAndCheck),
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
    type Reference = RunningSlots;

    fn init_test(_: &RunningSlots) -> Network {
        let mut network = Network::new(SLOTS, ZONES, NETWORK_SEED);
        network.start_all();
        network.run(Duration::from_secs(10));
        network
    }

    fn apply(mut network: Network, _: &RunningSlots, transition: Transition) -> Network {
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
            Transition::SeparateZones(zones) => separate_zones(&mut network, zones),
            Transition::Loss(percent) => network.faults.loss = f64::from(percent) / 100.0,
            Transition::Duplication(percent) => {
                network.faults.duplication = f64::from(percent) / 100.0;
            }
            Transition::Jitter(millis) => {
                network.faults.jitter = Duration::from_millis(millis.into());
            }
            Transition::Heal => network.heal(),
            Transition::Wait(millis) => network.run(Duration::from_millis(millis.into())),
            Transition::HealAndCheck => heal_and_check(&mut network),
        }
        network
    }

    fn teardown(mut network: Network, _: RunningSlots) {
        heal_and_check(&mut network);
    }
}

/// Makes a node leave. If the network is healthy and converged, checks that all nodes record the
/// leaving node within the bound.
fn leave(network: &mut Network, slot: usize) {
    let was_converged =
        network.is_healed() && has_low_jitter(network) && truth::matches_everywhere(network);
    network.leave(slot);
    if was_converged {
        network.run(LEAVE_BOUND);
        truth::assert_matches_everywhere(network);
    }
}

/// Returns whether the jitter is small enough for the leave bound.
fn has_low_jitter(network: &Network) -> bool {
    network.faults.jitter <= Duration::from_millis(100)
}

fn depart(network: &mut Network, slot: usize) {
    network.thaw(slot);
    network.depart(slot);
    network.run(DEPARTURE_RUNTIME);
    network.kill(slot);
}

fn separate_zones(network: &mut Network, zones: usize) {
    for from in 0..zones {
        for to in zones..ZONES {
            network.cut(from, to);
            network.cut(to, from);
        }
    }
}

fn heal_and_check(network: &mut Network) {
    network.heal();
    network.faults.duplication = 0.0;
    network.faults.jitter = Duration::from_millis(20);
    network.run(CONVERGENCE_TIME);
    truth::assert_matches_everywhere(network);
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
    fn tables_converge_after_healing(sequential 1..24 => Fleet);
}
