//! Single courses of events whose outcome is known.

mod support;

use std::time::Duration;

use support::{Network, truth};
use tallybridge_core::NodeId;
use tallybridge_membership::{Health, MemberEvent, MemberState};

const SEED: u64 = 0x5eed;
const ZONES: usize = 4;
const SETTLE: Duration = Duration::from_secs(60);

fn settled(slots: usize) -> Network {
    let mut network = Network::new(slots, ZONES, SEED);
    network.start_all();
    network.run(SETTLE);
    truth::assert_agrees(&network);
    network
}

fn identity(network: &Network, slot: usize) -> NodeId {
    let process = network.slots[slot].process.as_ref().expect("runs");
    process.table.identity()
}

/// Deaths that processes have been told of since the last call.
fn deaths(network: &mut Network) -> usize {
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
fn a_partition_heals_without_a_live_member_being_held_dead_on_its_own_side() {
    let mut network = settled(40);
    for (from, to) in [(0, 2), (0, 3), (1, 2), (1, 3)] {
        network.cut(from, to);
        network.cut(to, from);
    }
    network.run(Duration::from_secs(300));
    let held_dead = network
        .processes()
        .flat_map(|process| process.table.members())
        .filter(|record| record.health == Health::Dead)
        .count();
    assert_eq!(held_dead, 40 * 20, "each side holds the other dead");
    deaths(&mut network);
    network.make_whole();
    network.run(SETTLE);
    truth::assert_agrees(&network);
    assert_eq!(deaths(&mut network), 0);
}

#[test]
fn a_restart_at_the_same_address_ends_the_instance_before() {
    let mut network = settled(12);
    let before = identity(&network, 5);
    network.kill(5);
    let after = network.start(5);
    network.run(Duration::from_secs(20));
    for process in network.processes() {
        let ended = process.table.member(before);
        let state = ended.map(|record| record.state());
        assert!(state.is_none_or(|state| state == MemberState::Dead));
        let started = process.table.member(after).expect("known");
        assert_eq!(started.state(), MemberState::Alive);
    }
}

#[test]
fn a_frozen_member_is_held_dead_and_comes_back_with_a_greater_incarnation() {
    let mut network = settled(12);
    let frozen = identity(&network, 3);
    network.freeze(3);
    network.run(SETTLE);
    let others = network.processes().filter(|process| !process.frozen);
    for process in others {
        let record = process.table.member(frozen).expect("remembered");
        assert_eq!(record.state(), MemberState::Dead);
    }
    network.thaw(3);
    network.run(SETTLE);
    truth::assert_agrees(&network);
    let own = network.slots[3].process.as_ref().expect("runs");
    assert!(own.table.status().incarnation.0 > 0);
}

#[test]
fn a_member_that_departs_is_known_to_have_left_and_not_to_have_died() {
    let mut network = settled(20);
    let departed = identity(&network, 7);
    network.leave(7);
    network.run(Duration::from_secs(3));
    truth::assert_agrees(&network);
    network.depart(7);
    network.run(Duration::from_secs(1));
    network.kill(7);
    network.run(Duration::from_secs(3));
    for process in network.processes() {
        let record = process.table.member(departed).expect("remembered");
        assert_eq!(record.state(), MemberState::Left);
    }
}

#[test]
fn a_member_that_hears_nothing_is_not_followed_into_suspecting_the_others() {
    let mut network = settled(20);
    deaths(&mut network);
    let deaf_zone = network.slots[2].zone;
    for zone in 0..ZONES {
        if zone != deaf_zone {
            network.cut(zone, deaf_zone);
        }
    }
    network.run(Duration::from_secs(120));
    let hearing = network.slots.iter().filter(|slot| slot.zone != deaf_zone);
    for process in hearing.filter_map(|slot| slot.process.as_ref()) {
        let live = truth::view(&process.table);
        let others = live.keys().filter(|node| {
            let record = process.table.member(**node).expect("known");
            record.placement.zone.as_str() != format!("zone-{deaf_zone}")
        });
        assert_eq!(others.count(), 15);
    }
}

#[test]
fn a_revision_reaches_every_member_and_none_goes_back() {
    let mut network = settled(30);
    let first = network.slots[4].process.as_mut().expect("runs");
    first.table.set_revision(9);
    first.table.set_revision(8);
    let spread = network.run_until(Duration::from_secs(10), |network| {
        network
            .processes()
            .all(|process| process.table.status().revision == 9)
    });
    assert!(spread.is_some());
}

/// Cuts a zone off all others in both directions.
fn cut_off(network: &mut Network, zone: usize) {
    for other in (0..ZONES).filter(|other| *other != zone) {
        network.cut(zone, other);
        network.cut(other, zone);
    }
}

#[test]
fn a_short_cut_of_a_whole_zone_ends_no_member() {
    let mut network = settled(40);
    deaths(&mut network);
    cut_off(&mut network, 1);
    network.run(Duration::from_secs(8));
    network.make_whole();
    network.run(SETTLE);
    truth::assert_agrees(&network);
    assert_eq!(deaths(&mut network), 0);
}

#[test]
fn processes_that_stood_still_hold_nobody_dead_for_it() {
    const STILL: [usize; 3] = [1, 5, 9];
    let mut network = settled(12);
    cut_off(&mut network, 1);
    network.run(Duration::from_secs(6));
    STILL.iter().for_each(|slot| network.freeze(*slot));
    network.weather.cuts.clear();
    network.run(SETTLE);
    deaths(&mut network);
    network.make_whole();
    network.run(SETTLE);
    truth::assert_agrees(&network);
    assert_eq!(deaths(&mut network), 0);
}

#[test]
fn a_cut_between_two_zones_is_bridged_by_helpers_elsewhere() {
    let mut network = settled(24);
    deaths(&mut network);
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
fn a_storm_of_restarts_stays_within_the_bytes_allowed() {
    const STORM: u64 = 120;
    const RESTARTED: usize = 30;
    const PROBE_BYTES_PER_SECOND: u64 = 2048;
    let mut network = settled(40);
    network.weather.loss = 0.1;
    let sent = |network: &Network| -> Vec<u64> {
        let lasting = &network.slots[RESTARTED..];
        lasting.iter().map(|slot| slot.sent_bytes).collect()
    };
    let before = sent(&network);
    for second in 0..STORM as usize {
        for slot in 0..5 {
            network.start((5 * second + slot) % RESTARTED);
        }
        network.run(Duration::from_secs(1));
    }
    let settings = &network.settings;
    let allowed = u64::from(settings.bytes_per_second) + PROBE_BYTES_PER_SECOND;
    let bound = allowed * STORM + u64::from(settings.burst_bytes);
    for (after, before) in sent(&network).iter().zip(&before) {
        assert!(
            after - before <= bound,
            "{} bytes of {bound}",
            after - before
        );
    }
}
