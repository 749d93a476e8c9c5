//! Scenarios of partitions, restarts, freezes and departures with a known outcome.

mod support;

use std::time::Duration;

use support::{Network, truth};
use tallybridge_core::NodeId;
use tallybridge_membership::{Health, MemberEvent, MemberState};

const SEED: u64 = 0x5eed;
const ZONES: usize = 4;
const CONVERGENCE_TIME: Duration = Duration::from_secs(60);

fn converged_network(slots: usize) -> Network {
    let mut network = Network::new(slots, ZONES, SEED);
    network.start_all();
    network.run(CONVERGENCE_TIME);
    truth::assert_matches_everywhere(&network);
    network
}

fn identity(network: &Network, slot: usize) -> NodeId {
    let process = network.slots[slot]
        .process
        .as_ref()
        .expect("the process runs");
    process.table.identity()
}

/// Returns the number of deaths reported since the last call. Processes record events only after
/// the first call.
fn take_death_count(network: &mut Network) -> usize {
    let processes = network.slots.iter_mut().flat_map(|slot| &mut slot.process);
    processes
        .flat_map(|process| {
            process.keep_events = true;
            std::mem::take(&mut process.events)
        })
        .filter(|event| matches!(event, MemberEvent::Died(_)))
        .count()
}

#[test]
fn reunites_partition_without_reporting_deaths() {
    let mut network = converged_network(40);
    for (from, to) in [(0, 2), (0, 3), (1, 2), (1, 3)] {
        network.cut(from, to);
        network.cut(to, from);
    }
    network.run(Duration::from_secs(300));
    let dead_records = network
        .processes()
        .flat_map(|process| process.table.members())
        .filter(|record| record.health == Health::Dead)
        .count();
    assert_eq!(
        dead_records,
        40 * 20,
        "each side must declare the other side dead"
    );
    take_death_count(&mut network);
    network.heal();
    network.run(CONVERGENCE_TIME);
    truth::assert_matches_everywhere(&network);
    assert_eq!(take_death_count(&mut network), 0);
}

#[test]
fn restart_ends_previous_instance_at_address() {
    let mut network = converged_network(12);
    let before = identity(&network, 5);
    network.kill(5);
    let after = network.start(5);
    network.run(Duration::from_secs(20));
    for process in network.processes() {
        let ended = process.table.member(before);
        let state = ended.map(|record| record.state());
        assert!(state.is_none_or(|state| state == MemberState::Dead));
        let started = process.table.member(after).expect("the member is known");
        assert_eq!(started.state(), MemberState::Alive);
    }
}

#[test]
fn frozen_member_returns_with_greater_incarnation() {
    let mut network = converged_network(12);
    let frozen = identity(&network, 3);
    network.freeze(3);
    network.run(CONVERGENCE_TIME);
    let others = network.processes().filter(|process| !process.frozen);
    for process in others {
        let record = process
            .table
            .member(frozen)
            .expect("the ended member is not purged yet");
        assert_eq!(record.state(), MemberState::Dead);
    }
    network.thaw(3);
    network.run(CONVERGENCE_TIME);
    truth::assert_matches_everywhere(&network);
    let own = network.slots[3].process.as_ref().expect("the process runs");
    assert!(own.table.status().incarnation.0 > 0);
}

#[test]
fn departed_member_is_recorded_as_left() {
    let mut network = converged_network(20);
    let departed = identity(&network, 7);
    network.leave(7);
    network.run(Duration::from_secs(3));
    truth::assert_matches_everywhere(&network);
    network.depart(7);
    network.run(Duration::from_secs(1));
    network.kill(7);
    network.run(Duration::from_secs(3));
    for process in network.processes() {
        let record = process
            .table
            .member(departed)
            .expect("the ended member is not purged yet");
        assert_eq!(record.state(), MemberState::Left);
    }
}

#[test]
fn zone_without_inbound_datagrams_evicts_nobody() {
    let mut network = converged_network(20);
    take_death_count(&mut network);
    let isolated_zone = network.slots[2].zone;
    for zone in 0..ZONES {
        if zone != isolated_zone {
            network.cut(zone, isolated_zone);
        }
    }
    network.run(Duration::from_secs(120));
    let unaffected_slots = network
        .slots
        .iter()
        .filter(|slot| slot.zone != isolated_zone);
    for process in unaffected_slots.filter_map(|slot| slot.process.as_ref()) {
        let live = truth::live_members(&process.table);
        let others = live.keys().filter(|node| {
            let record = process.table.member(**node).expect("the member is known");
            record.placement.zone.as_str() != format!("zone-{isolated_zone}")
        });
        assert_eq!(others.count(), 15);
    }
}

#[test]
fn revision_spreads_and_never_decreases() {
    let mut network = converged_network(30);
    let first = network.slots[4].process.as_mut().expect("the process runs");
    first.table.set_revision(9);
    first.table.set_revision(8);
    let elapsed = network.run_until(Duration::from_secs(10), |network| {
        network
            .processes()
            .all(|process| process.table.status().revision == 9)
    });
    assert!(elapsed.is_some());
}

/// Separates a zone from all others in both directions.
fn isolate_zone(network: &mut Network, zone: usize) {
    for other in (0..ZONES).filter(|other| *other != zone) {
        network.cut(zone, other);
        network.cut(other, zone);
    }
}

#[test]
fn short_zone_isolation_causes_no_deaths() {
    let mut network = converged_network(40);
    take_death_count(&mut network);
    isolate_zone(&mut network, 1);
    network.run(Duration::from_secs(8));
    network.heal();
    network.run(CONVERGENCE_TIME);
    truth::assert_matches_everywhere(&network);
    assert_eq!(take_death_count(&mut network), 0);
}

#[test]
fn paused_processes_cause_no_deaths() {
    const FROZEN_SLOTS: [usize; 3] = [1, 5, 9];
    let mut network = converged_network(12);
    isolate_zone(&mut network, 1);
    network.run(Duration::from_secs(6));
    FROZEN_SLOTS.iter().for_each(|slot| network.freeze(*slot));
    network.faults.cuts.clear();
    network.run(CONVERGENCE_TIME);
    take_death_count(&mut network);
    network.heal();
    network.run(CONVERGENCE_TIME);
    truth::assert_matches_everywhere(&network);
    assert_eq!(take_death_count(&mut network), 0);
}

#[test]
fn helpers_bridge_cut_between_zones() {
    let mut network = converged_network(24);
    take_death_count(&mut network);
    network.cut(0, 1);
    network.cut(1, 0);
    network.run(Duration::from_secs(120));
    let suspicions = network
        .processes()
        .flat_map(|process| &process.events)
        .filter(|event| matches!(event, MemberEvent::Changed(record) if record.health == Health::Suspect))
        .count();
    assert_eq!(suspicions, 0);
}

#[test]
fn restart_storm_stays_within_byte_budget() {
    const STORM_SECONDS: u64 = 120;
    const RESTARTED_SLOTS: usize = 30;
    const PROBE_BYTES_PER_SECOND: u64 = 2048;
    let mut network = converged_network(40);
    network.faults.loss = 0.1;
    let sent = |network: &Network| -> Vec<u64> {
        let stable_slots = &network.slots[RESTARTED_SLOTS..];
        stable_slots.iter().map(|slot| slot.sent_bytes).collect()
    };
    let before = sent(&network);
    for second in 0..STORM_SECONDS as usize {
        for slot in 0..5 {
            network.start((5 * second + slot) % RESTARTED_SLOTS);
        }
        network.run(Duration::from_secs(1));
    }
    let settings = &network.settings;
    let allowed_bytes_per_second = u64::from(settings.bytes_per_second) + PROBE_BYTES_PER_SECOND;
    let bound = allowed_bytes_per_second * STORM_SECONDS + u64::from(settings.burst_bytes);
    for (after, before) in sent(&network).iter().zip(&before) {
        assert!(
            after - before <= bound,
            "sent {} bytes, more than the limit of {bound}",
            after - before
        );
    }
}
