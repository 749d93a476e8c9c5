//! One size: start, rest, events.

use std::{collections::BTreeSet, time::Duration};

use tallybridge_core::NodeId;
use tallybridge_membership::{MemberEvent, MemberState};

use super::{
    allocator,
    figures::{Figures, Spread},
    support::{
        Network,
        network::{Slot, TICK},
        truth,
    },
};

const ZONES: usize = 4;
const COLD_START_LIMIT: Duration = Duration::from_secs(900);
const COLD_START_STEP: Duration = Duration::from_secs(2);
const SETTLE: Duration = Duration::from_secs(60);
const REST: Duration = Duration::from_secs(120);
const EVENT_LIMIT: Duration = Duration::from_secs(120);

/// Measures one size under one share of loss, in percent.
pub fn measure(nodes: usize, loss: u8, seed: u64, events: usize) -> Figures {
    let mut network = Network::new(nodes, ZONES, seed);
    network.check_monotonic = false;
    network.weather.loss = f64::from(loss) / 100.0;
    network.start_all();
    let mut figures = Figures {
        nodes,
        cold_start: cold_start(&mut network),
        ..Figures::default()
    };
    network.run(SETTLE);
    for slot in &mut network.slots {
        slot.process.as_mut().expect("runs").keep_events = true;
    }
    rest(&mut network, &mut figures);
    let mut killed = BTreeSet::new();
    time_events(&mut network, &mut figures, events, &mut killed);
    figures.wrongly_dead = wrongly_dead(&network);
    figures.false_deaths = false_deaths(&network, &killed);
    leave_together(&mut network, &mut figures);
    lose_zone(&mut network, &mut figures);
    figures.memory_kib = memory_kib(network);
    figures
}

fn cold_start(network: &mut Network) -> f64 {
    while network.elapsed() < COLD_START_LIMIT {
        network.run(COLD_START_STEP);
        if knows_all(network) {
            return network.elapsed().as_secs_f64();
        }
    }
    f64::NAN
}

fn knows_all(network: &Network) -> bool {
    let count = network.slots.len();
    network.processes().all(|process| {
        let status = process.table.status();
        status.alive + status.suspect == count
    })
}

/// Headers of UDP and IPv4 in front of each datagram, in bytes.
const HEADER_BYTES: u64 = 28;

/// Bytes sent by each slot, headers included.
fn sent(network: &Network) -> Vec<u64> {
    network.slots.iter().map(sent_by).collect()
}

fn sent_by(slot: &Slot) -> u64 {
    slot.sent_bytes + HEADER_BYTES * slot.sent_datagrams
}

/// Mean and greatest bytes a second since a count was taken.
fn bytes_per_second(network: &Network, before: &[u64], seconds: f64) -> (f64, f64) {
    let rates: Vec<f64> = network
        .slots
        .iter()
        .zip(before)
        .filter(|(slot, _)| slot.process.is_some())
        .map(|(slot, before)| (sent_by(slot) - before) as f64 / seconds)
        .collect();
    let mean = rates.iter().sum::<f64>() / rates.len() as f64;
    (mean, rates.into_iter().fold(0.0, f64::max))
}

fn rest(network: &mut Network, figures: &mut Figures) {
    let before = sent(network);
    let datagrams =
        |network: &Network| -> u64 { network.slots.iter().map(|slot| slot.sent_datagrams).sum() };
    let busy =
        |network: &Network| -> Duration { network.processes().map(|process| process.busy).sum() };
    let (datagrams_before, busy_before) = (datagrams(network), busy(network));
    network.run(REST);
    let seconds = REST.as_secs_f64();
    let node_seconds = seconds * figures.nodes as f64;
    (figures.bytes, figures.max_bytes) = bytes_per_second(network, &before, seconds);
    figures.datagrams = (datagrams(network) - datagrams_before) as f64 / node_seconds;
    let busy = busy(network) - busy_before;
    figures.busy_micros = busy.as_secs_f64() * 1e6 / node_seconds;
}

fn time_events(
    network: &mut Network,
    figures: &mut Figures,
    events: usize,
    killed: &mut BTreeSet<NodeId>,
) {
    let before = sent(network);
    let began = network.elapsed();
    let (mut deaths, mut leaves, mut revisions) = (Vec::new(), Vec::new(), Vec::new());
    for event in 0..events {
        let node = identity(network, 3 * event);
        killed.insert(node);
        network.kill(3 * event);
        deaths.extend(times(network, |table| !takes_work(table, node)));
        let node = identity(network, 3 * event + 1);
        network.leave(3 * event + 1);
        leaves.extend(times(network, |table| !takes_work(table, node)));
        let revision = event as u64 + 1;
        set_revision(network, 3 * event + 2, revision);
        revisions.extend(times(network, |table| table.status().revision >= revision));
    }
    let seconds = (network.elapsed() - began).as_secs_f64();
    (figures.event_bytes, figures.max_event_bytes) = bytes_per_second(network, &before, seconds);
    figures.death = Spread::of(deaths);
    figures.leave = Spread::of(leaves);
    figures.revision = Spread::of(revisions);
}

fn identity(network: &Network, slot: usize) -> NodeId {
    let process = network.slots[slot].process.as_ref().expect("runs");
    process.table.identity()
}

fn set_revision(network: &mut Network, slot: usize, revision: u64) {
    let process = network.slots[slot].process.as_mut().expect("runs");
    process.table.set_revision(revision);
}

fn takes_work(table: &tallybridge_membership::MemberTable, node: NodeId) -> bool {
    table
        .member(node)
        .is_some_and(|record| matches!(record.state(), MemberState::Alive | MemberState::Suspect))
}

fn is_alive(table: &tallybridge_membership::MemberTable, node: NodeId) -> bool {
    table
        .member(node)
        .is_some_and(|record| record.state() == MemberState::Alive)
}

/// For each process the time until something holds there, in seconds; infinite beyond the limit.
fn times(
    network: &mut Network,
    holds: impl Fn(&tallybridge_membership::MemberTable) -> bool,
) -> Vec<f64> {
    let began = network.elapsed();
    let mut waiting: Vec<usize> = (0..network.slots.len())
        .filter(|slot| network.slots[*slot].process.is_some())
        .collect();
    let mut times = Vec::new();
    while !waiting.is_empty() && network.elapsed() - began < EVENT_LIMIT {
        network.run(TICK);
        let elapsed = (network.elapsed() - began).as_secs_f64();
        waiting.retain(|slot| {
            let process = network.slots[*slot].process.as_ref().expect("runs");
            let done = holds(&process.table);
            if done {
                times.push(elapsed);
            }
            !done
        });
    }
    times.extend(waiting.iter().map(|_| f64::INFINITY));
    times
}

/// Has a tenth of the nodes leave at once.
fn leave_together(network: &mut Network, figures: &mut Figures) {
    const SHARE: usize = 10;
    network.run(SETTLE);
    let leaving: Vec<usize> = (0..network.slots.len())
        .filter(|slot| slot % SHARE == 5 && network.slots[*slot].process.is_some())
        .collect();
    let nodes: Vec<NodeId> = leaving
        .iter()
        .map(|slot| identity(network, *slot))
        .collect();
    for slot in leaving {
        network.leave(slot);
    }
    figures.leave_together = Spread::of(times(network, |table| {
        !nodes.iter().any(|node| takes_work(table, *node))
    }));
    network.run(SETTLE);
}

/// Kills what is left of one zone at once.
fn lose_zone(network: &mut Network, figures: &mut Figures) {
    const LOST_ZONE: usize = ZONES - 1;
    let before = sent(network);
    let began = network.elapsed();
    let lost: Vec<usize> = (0..network.slots.len())
        .filter(|slot| network.slots[*slot].zone == LOST_ZONE)
        .filter(|slot| network.slots[*slot].process.is_some())
        .collect();
    let nodes: Vec<NodeId> = lost.iter().map(|slot| identity(network, *slot)).collect();
    for slot in lost {
        network.kill(slot);
    }
    figures.zone_suspected = Spread::of(times(network, |table| {
        !nodes.iter().any(|node| is_alive(table, *node))
    }));
    let until_suspected = (network.elapsed() - began).as_secs_f64();
    let until_dead = times(network, |table| {
        !nodes.iter().any(|node| takes_work(table, *node))
    });
    figures.zone_loss = Spread::of(
        until_dead
            .iter()
            .map(|time| until_suspected + time)
            .collect(),
    );
    let seconds = (network.elapsed() - began).as_secs_f64();
    (_, figures.max_zone_loss_bytes) = bytes_per_second(network, &before, seconds);
}

fn wrongly_dead(network: &Network) -> usize {
    let truth = truth::truth(network);
    network
        .processes()
        .flat_map(|process| process.table.members())
        .filter(|record| !record.health.is_live() && truth.contains_key(&record.node))
        .count()
}

fn false_deaths(network: &Network, killed: &BTreeSet<NodeId>) -> usize {
    network
        .processes()
        .flat_map(|process| &process.events)
        .filter(|event| matches!(event, MemberEvent::Died(dead) if !killed.contains(&dead.node)))
        .count()
}

/// Memory of all processes, divided by their number.
fn memory_kib(mut network: Network) -> f64 {
    for slot in &mut network.slots {
        slot.process
            .as_mut()
            .map(|process| std::mem::take(&mut process.events));
    }
    let count = network.processes().count();
    let before = allocator::allocated();
    for slot in &mut network.slots {
        slot.process = None;
    }
    let freed = before - allocator::allocated();
    freed as f64 / count as f64 / 1024.0
}
