//! Failure detection by direct and indirect pings (SWIM, section 3).
//!
//! A node pings one member per probe interval. Without an answer, the node asks helpers to ping the
//! member, and finally suspects it.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::rngs::SmallRng;
use tallybridge_core::NodeId;
use tallybridge_wire::{GossipHeader, GossipMessage, WireUpdate};

use crate::{
    anti_entropy,
    convert::to_update,
    gossip, helpers,
    member::{Health, MemberRecord},
    merge::Reporter,
    outgoing::Outgoing,
    reach,
    relay::{self, Relay},
    suspicion,
    table::MemberTable,
};

/// Time between two runs above which the process is assumed to have been paused. Missing answers
/// then say nothing about the other members.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Pending probes, and pending pings on behalf of other nodes.
#[derive(Debug)]
pub(crate) struct Probes {
    last_run: Instant,
    next_probe: Instant,
    pub next_reach: Instant,
    sequence: u32,
    pending: BTreeMap<u32, Probe>,
    pub relays: BTreeMap<u32, Relay>,
    /// Addresses at which more than one instance is recorded as live.
    pub contested_addresses: BTreeSet<SocketAddr>,
}

#[derive(Debug)]
struct Probe {
    address: SocketAddr,
    /// Member to suspect if no answer arrives; `None` if the ping only checks for any instance at
    /// the address.
    target: Option<NodeId>,
    sent: Instant,
    helpers_asked: bool,
    /// Helpers that have sent neither an ack nor a nack. Each one indicates that this node's own
    /// link may be at fault.
    unresponsive_helpers: BTreeSet<SocketAddr>,
}

impl Probes {
    pub(crate) const fn new(now: Instant) -> Self {
        Self {
            last_run: now,
            next_probe: now,
            next_reach: now,
            sequence: 0,
            pending: BTreeMap::new(),
            relays: BTreeMap::new(),
            contested_addresses: BTreeSet::new(),
        }
    }

    pub(crate) const fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }
}

/// Runs one tick and returns the datagrams that are due.
pub fn run(table: &mut MemberTable, now: Instant, rng: &mut SmallRng) -> Vec<Outgoing> {
    let mut outgoing = Vec::new();
    table.budget.refill(now);
    handle_pause(table, now);
    suspicion::expire(table, now);
    if table.own_record().health != Health::Left {
        advance_probes(table, now, rng, &mut outgoing);
        relay::expire_relays(table, now, &mut outgoing);
        ping_contested_addresses(table, now, &mut outgoing);
        start_probe(table, now, rng, &mut outgoing);
        reach::run(table, now, rng, &mut outgoing);
        anti_entropy::run(table, now, rng, &mut outgoing);
    }
    gossip::run(table, now, rng, &mut outgoing);
    outgoing
}

/// Detects a pause of the process. After a pause, discards pending probes and relays and extends
/// all suspicions by the length of the pause.
fn handle_pause(table: &mut MemberTable, now: Instant) {
    let pause = now.saturating_duration_since(table.probes.last_run);
    table.probes.last_run = now;
    if pause < PAUSE_THRESHOLD {
        return;
    }
    table.local_health.raise(1);
    table.probes.pending.clear();
    table.probes.relays.clear();
    for suspicion in table.suspicions.values_mut() {
        suspicion.started += pause;
    }
}

/// Asks helpers after the ping timeout and fails the probe after the probe timeout.
fn advance_probes(
    table: &mut MemberTable,
    now: Instant,
    rng: &mut SmallRng,
    outgoing: &mut Vec<Outgoing>,
) {
    let ping_timeout = table.local_health.scale(table.settings.ping_timeout);
    let probe_timeout = table.local_health.scale(table.settings.probe_timeout);
    let sequences: Vec<u32> = table.probes.pending.keys().copied().collect();
    for sequence in sequences {
        let probe = &table.probes.pending[&sequence];
        let waited = now.saturating_duration_since(probe.sent);
        if waited >= probe_timeout {
            fail_probe(table, sequence, now);
        } else if waited >= ping_timeout && !probe.helpers_asked {
            ask_helpers(table, sequence, rng, outgoing);
        }
    }
}

fn ask_helpers(
    table: &mut MemberTable,
    sequence: u32,
    rng: &mut SmallRng,
    outgoing: &mut Vec<Outgoing>,
) {
    let probe = &table.probes.pending[&sequence];
    let address = probe.address;
    let Some(target) = probe.target else {
        return;
    };
    let helpers = helpers::choose_helpers(table, target, rng);
    let unresponsive_helpers = helpers::expected_responders(table, target, &helpers);
    if let Some(probe) = table.probes.pending.get_mut(&sequence) {
        probe.helpers_asked = true;
        probe.unresponsive_helpers = unresponsive_helpers;
    }
    let request = GossipMessage::PingRequest {
        sequence,
        target: address.into(),
    };
    for helper in helpers {
        outgoing.push(table.build_datagram(helper.address, request.clone(), Vec::new()));
    }
    // Repeats the direct ping, because the first one or its answer may have been lost.
    let notice = suspicion_notice(table, target);
    outgoing.push(table.build_datagram(address, GossipMessage::Ping { sequence }, notice));
}

/// Suspects the target of a probe that timed out and raises the local health score by the number of
/// unresponsive helpers (Lifeguard, section IV-A).
fn fail_probe(table: &mut MemberTable, sequence: u32, now: Instant) {
    let Some(probe) = table.probes.pending.remove(&sequence) else {
        return;
    };
    let Some(target) = probe.target else {
        return;
    };
    let has_no_helpers = !probe.helpers_asked || !table.has_helpers(target);
    let unresponsive_count = if has_no_helpers {
        1
    } else {
        probe.unresponsive_helpers.len()
    };
    table.local_health.raise(unresponsive_count);
    table.suspect(target, now);
}

impl MemberTable {
    /// Returns whether there is a live member other than this node and the target.
    fn has_helpers(&self, target: NodeId) -> bool {
        let excluded = 1 + usize::from(self.is_live(target));
        self.live_count() > excluded
    }

    /// Suspects a member after this node's own probe failed, or confirms an existing suspicion.
    fn suspect(&mut self, node: NodeId, now: Instant) {
        let Some(row) = self.members.get(&node) else {
            return;
        };
        let suspect = MemberRecord {
            health: Health::Suspect,
            ..row.record.clone()
        };
        let was_alive = row.record.health == Health::Alive;
        if was_alive {
            self.replace(suspect, now);
        }
        let reporter = self.reporter();
        let suspicion = self.suspicions.get_mut(&node);
        let is_new_confirmation = suspicion.is_some_and(|suspicion| suspicion.confirm(reporter));
        if was_alive {
            self.queue.push(node, reporter);
        } else if is_new_confirmation {
            self.push_confirmation(node, reporter);
        }
    }
}

/// Pings the contested addresses. Each answer ends the other instances at its address.
fn ping_contested_addresses(table: &mut MemberTable, now: Instant, outgoing: &mut Vec<Outgoing>) {
    for address in std::mem::take(&mut table.probes.contested_addresses) {
        outgoing.push(ping(table, address, None, now));
    }
}

fn start_probe(
    table: &mut MemberTable,
    now: Instant,
    rng: &mut SmallRng,
    outgoing: &mut Vec<Outgoing>,
) {
    if now < table.probes.next_probe {
        return;
    }
    let interval = table.local_health.scale(table.settings.probe_interval);
    table.probes.next_probe = now + interval;
    if let Some(target) = table.next_probe_target(rng) {
        outgoing.push(ping(table, target.address, Some(target), now));
    }
}

/// Starts a probe of an address and returns its ping.
pub(crate) fn ping(
    table: &mut MemberTable,
    address: SocketAddr,
    target: Option<NodeId>,
    now: Instant,
) -> Outgoing {
    let sequence = table.probes.next_sequence();
    let probe = Probe {
        address,
        target,
        sent: now,
        helpers_asked: false,
        unresponsive_helpers: BTreeSet::new(),
    };
    table.probes.pending.insert(sequence, probe);
    let notice = target.map_or_else(Vec::new, |target| suspicion_notice(table, target));
    table.build_datagram(address, GossipMessage::Ping { sequence }, notice)
}

/// Returns the suspicion of the target, if any, so that the target can refute it in its answer.
fn suspicion_notice(table: &MemberTable, target: NodeId) -> Vec<WireUpdate> {
    table
        .member(target)
        .filter(|record| record.health == Health::Suspect)
        .map(|record| to_update(record, Reporter::NONE, false))
        .into_iter()
        .collect()
}

/// Handles an ack of a direct, indirect or relayed ping.
pub(crate) fn handle_ack(
    table: &mut MemberTable,
    sequence: u32,
    responder: &GossipHeader,
    now: Instant,
) -> Option<Outgoing> {
    let node: NodeId = responder.sender.into();
    if let Some(probe) = table.probes.pending.remove(&sequence) {
        if node.address == probe.address {
            table.end_other_instances(node, probe.sent, now);
        }
        table.local_health.lower();
    }
    relay::forward_ack(table, sequence, responder)
}

/// Handles a nack: the helper is responsive, but the target has not answered the helper.
pub(crate) fn handle_nack(table: &mut MemberTable, from: SocketAddr, sequence: u32) {
    if let Some(probe) = table.probes.pending.get_mut(&sequence) {
        probe.unresponsive_helpers.remove(&from);
    }
}
