//! Probing: ping, ask helpers to ping, suspect (SWIM, section 3).

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

/// A run that is later than this after the last one means that the process stood still, so that
/// what has not arrived says nothing about the others.
const PAUSE: Duration = Duration::from_secs(1);

/// Probes and pings on behalf of others that are under way.
#[derive(Debug)]
pub(crate) struct Probes {
    last_run: Instant,
    next_probe: Instant,
    pub next_reach: Instant,
    sequence: u32,
    probes: BTreeMap<u32, Probe>,
    pub relays: BTreeMap<u32, Relay>,
    /// Addresses at which two instances are believed to live.
    pub doubted: BTreeSet<SocketAddr>,
}

/// One probe.
#[derive(Debug)]
struct Probe {
    address: SocketAddr,
    /// The member that is suspected without an answer; `None` when the ping only tries to reach
    /// whoever is there.
    target: Option<NodeId>,
    sent: Instant,
    /// Whether helpers were asked.
    helped: bool,
    /// Helpers whose silence says that this node's own link is at fault.
    silent: BTreeSet<SocketAddr>,
}

impl Probes {
    pub(crate) const fn new(now: Instant) -> Self {
        Self {
            last_run: now,
            next_probe: now,
            next_reach: now,
            sequence: 0,
            probes: BTreeMap::new(),
            relays: BTreeMap::new(),
            doubted: BTreeSet::new(),
        }
    }

    pub(crate) const fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }
}

/// One tick: everything that is due by now.
pub fn run(table: &mut MemberTable, now: Instant, rng: &mut SmallRng) -> Vec<Outgoing> {
    let mut outgoing = Vec::new();
    table.budget.refill(now);
    absorb_pause(table, now);
    suspicion::expire(table, now);
    if table.own_record().health != Health::Left {
        advance(table, now, rng, &mut outgoing);
        relay::end_relays(table, now, &mut outgoing);
        settle_doubts(table, now, &mut outgoing);
        start(table, now, rng, &mut outgoing);
        reach::run(table, now, rng, &mut outgoing);
        anti_entropy::run(table, now, rng, &mut outgoing);
    }
    gossip::run(table, now, rng, &mut outgoing);
    outgoing
}

/// After a pause, what was awaited has no meaning and suspicions go on where they stood.
fn absorb_pause(table: &mut MemberTable, now: Instant) {
    let pause = now.saturating_duration_since(table.probes.last_run);
    table.probes.last_run = now;
    if pause < PAUSE {
        return;
    }
    table.local_health.raise(1);
    table.probes.probes.clear();
    table.probes.relays.clear();
    for suspicion in table.suspicions.values_mut() {
        suspicion.started += pause;
    }
}

/// Asks helpers, or suspects, where an answer is late.
fn advance(
    table: &mut MemberTable,
    now: Instant,
    rng: &mut SmallRng,
    outgoing: &mut Vec<Outgoing>,
) {
    let ping_timeout = table.local_health.scale(table.settings.ping_timeout);
    let probe_timeout = table.local_health.scale(table.settings.probe_timeout);
    let sequences: Vec<u32> = table.probes.probes.keys().copied().collect();
    for sequence in sequences {
        let probe = &table.probes.probes[&sequence];
        let waited = now.saturating_duration_since(probe.sent);
        if waited >= probe_timeout {
            fail(table, sequence, now);
        } else if waited >= ping_timeout && !probe.helped {
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
    let probe = &table.probes.probes[&sequence];
    let address = probe.address;
    let Some(target) = probe.target else {
        return;
    };
    let helpers = helpers::helpers(table, target, rng);
    let silent = helpers::telling_helpers(table, target, &helpers);
    if let Some(probe) = table.probes.probes.get_mut(&sequence) {
        probe.helped = true;
        probe.silent = silent;
    }
    let request = GossipMessage::PingRequest {
        sequence,
        target: address.into(),
    };
    for helper in helpers {
        outgoing.push(table.send(helper.address, request.clone(), Vec::new()));
    }
    // The ping or its answer may just have been lost.
    let notice = doubt(table, target);
    outgoing.push(table.send(address, GossipMessage::Ping { sequence }, notice));
}

/// No answer in time: the member is suspected, and this node trusts itself less where the helpers
/// were silent as well (Lifeguard, section IV-A).
fn fail(table: &mut MemberTable, sequence: u32, now: Instant) {
    let Some(probe) = table.probes.probes.remove(&sequence) else {
        return;
    };
    let Some(target) = probe.target else {
        return;
    };
    let alone = !probe.helped || !table.has_helpers(target);
    let silent = if alone { 1 } else { probe.silent.len() };
    table.local_health.raise(silent);
    table.suspect(target, now);
}

impl MemberTable {
    /// Whether there is anybody but this node and the member.
    fn has_helpers(&self, target: NodeId) -> bool {
        let known = 1 + usize::from(self.is_live(target));
        self.live_count() > known
    }

    /// This node's own probe has failed.
    fn suspect(&mut self, node: NodeId, now: Instant) {
        let Some(row) = self.members.get(&node) else {
            return;
        };
        let suspect = MemberRecord {
            health: Health::Suspect,
            ..row.record.clone()
        };
        let is_news = row.record.health == Health::Alive;
        if is_news {
            self.replace(suspect, now);
        }
        let reporter = self.reporter();
        let suspicion = self.suspicions.get_mut(&node);
        let counts = suspicion.is_some_and(|suspicion| suspicion.confirm(reporter));
        if is_news {
            self.queue.push(node, reporter);
        } else if counts {
            self.push_confirmation(node, reporter);
        }
    }
}

/// Pings addresses at which two instances are believed to live; the answer ends one of them.
fn settle_doubts(table: &mut MemberTable, now: Instant, outgoing: &mut Vec<Outgoing>) {
    for address in std::mem::take(&mut table.probes.doubted) {
        outgoing.push(ping(table, address, None, now));
    }
}

/// Starts the next probe when it is due.
fn start(table: &mut MemberTable, now: Instant, rng: &mut SmallRng, outgoing: &mut Vec<Outgoing>) {
    if now < table.probes.next_probe {
        return;
    }
    let interval = table.local_health.scale(table.settings.probe_interval);
    table.probes.next_probe = now + interval;
    if let Some(target) = table.next_probed(rng) {
        outgoing.push(ping(table, target.address, Some(target), now));
    }
}

/// Pings an address.
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
        helped: false,
        silent: BTreeSet::new(),
    };
    table.probes.probes.insert(sequence, probe);
    let notice = target.map_or_else(Vec::new, |target| doubt(table, target));
    table.send(address, GossipMessage::Ping { sequence }, notice)
}

/// Tells a suspected member of the suspicion, so that its answer refutes it.
fn doubt(table: &MemberTable, target: NodeId) -> Vec<WireUpdate> {
    table
        .member(target)
        .filter(|record| record.health == Health::Suspect)
        .map(|record| to_update(record, Reporter::NONE, false))
        .into_iter()
        .collect()
}

/// Somebody answered a ping of this node, or one made on its behalf.
pub(crate) fn acknowledge(
    table: &mut MemberTable,
    sequence: u32,
    responder: &GossipHeader,
    now: Instant,
) -> Option<Outgoing> {
    let node: NodeId = responder.sender.into();
    if let Some(probe) = table.probes.probes.remove(&sequence) {
        if node.address == probe.address {
            table.settle_address(node, probe.sent, now);
        }
        table.local_health.lower();
    }
    relay::pass_on(table, sequence, responder)
}

/// A helper is well, but the member has not answered it.
pub(crate) fn count_nack(table: &mut MemberTable, from: SocketAddr, sequence: u32) {
    if let Some(probe) = table.probes.probes.get_mut(&sequence) {
        probe.silent.remove(&from);
    }
}
