//! Probing: ping, ask helpers to ping, suspect (SWIM, section 3).

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::{
    rngs::SmallRng,
    seq::{IndexedRandom, IteratorRandom},
};
use tallybridge_core::NodeId;
use tallybridge_wire::{GossipHeader, GossipMessage, WireUpdate};

use crate::{
    anti_entropy,
    convert::to_update,
    gossip,
    member::{Health, MemberRecord},
    merge::Reporter,
    outgoing::Outgoing,
    suspicion,
    table::MemberTable,
};

/// A run that is later than this after the last one means that the process stood still, so that
/// what has not arrived says nothing about the others.
const PAUSE: Duration = Duration::from_secs(1);

/// Part of the time between a helper's ping and the probe's end after which the helper says that
/// it got no answer.
const NACK_AFTER: f64 = 0.7;

/// Probes and pings on behalf of others that are under way.
#[derive(Debug)]
pub(crate) struct Probes {
    last_run: Instant,
    next_probe: Instant,
    next_reach: Instant,
    sequence: u32,
    probes: BTreeMap<u32, Probe>,
    relays: BTreeMap<u32, Relay>,
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

/// A ping on behalf of another node.
#[derive(Debug)]
struct Relay {
    requester: SocketAddr,
    requester_sequence: u32,
    sent: Instant,
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

    const fn next_sequence(&mut self) -> u32 {
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
        end_relays(table, now, &mut outgoing);
        settle_doubts(table, now, &mut outgoing);
        start(table, now, rng, &mut outgoing);
        reach(table, now, rng, &mut outgoing);
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
    let helpers = helpers(table, target, rng);
    let silent = telling_helpers(table, target, &helpers);
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

/// Helpers that see the member over another way: one in another region, one in another zone and
/// one beside the member, as far as there are any.
fn helpers(table: &MemberTable, target: NodeId, rng: &mut SmallRng) -> Vec<NodeId> {
    type Fits = fn(helper: &MemberRecord, own: &MemberRecord, target: &MemberRecord) -> bool;
    const WAYS: [Fits; 3] = [
        |helper, own, _| helper.placement.region != own.placement.region,
        |helper, own, _| helper.placement.zone != own.placement.zone,
        |helper, _, target| helper.placement.zone == target.placement.zone,
    ];
    let own = table.own_record();
    let target_record = &table.members[&target].record;
    let mut chosen: Vec<NodeId> = Vec::new();
    for place in 0..table.settings.indirect_probes {
        let fits = WAYS[place % WAYS.len()];
        let is_free = |node: NodeId| node != target && !chosen.contains(&node);
        let drawn = table
            .random_live(rng, |table, node| {
                is_free(node) && fits(&table.members[&node].record, own, target_record)
            })
            .or_else(|| table.random_live(rng, |_, node| is_free(node)));
        chosen.extend(drawn);
    }
    chosen
}

/// Helpers from whom at least a refusal is expected: those in the member's own zone may have been
/// lost together with it, so they count only where there are no others.
fn telling_helpers(
    table: &MemberTable,
    target: NodeId,
    helpers: &[NodeId],
) -> BTreeSet<SocketAddr> {
    let zone = |node: NodeId| &table.members[&node].record.placement.zone;
    let address = |node: &NodeId| node.address;
    let elsewhere = helpers
        .iter()
        .filter(|helper| zone(**helper) != zone(target));
    let telling: BTreeSet<SocketAddr> = elsewhere.map(address).collect();
    if telling.is_empty() {
        return helpers.iter().map(address).collect();
    }
    telling
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
        if row.record.health == Health::Alive {
            let suspect = MemberRecord {
                health: Health::Suspect,
                ..row.record.clone()
            };
            self.replace(suspect, now);
        }
        let reporter = self.reporter();
        let suspicion = self.suspicions.get_mut(&node);
        if suspicion.is_some_and(|suspicion| suspicion.confirm(reporter)) {
            self.queue.push(node, reporter);
        }
    }
}

/// Tells requesters that their member has not answered.
fn end_relays(table: &mut MemberTable, now: Instant, outgoing: &mut Vec<Outgoing>) {
    let time = table.settings.probe_timeout - table.settings.ping_timeout;
    let limit = time.mul_f64(NACK_AFTER);
    let ended: Vec<u32> = table
        .probes
        .relays
        .iter()
        .filter(|(_, relay)| now.saturating_duration_since(relay.sent) >= limit)
        .map(|(sequence, _)| *sequence)
        .collect();
    for sequence in ended {
        if let Some(relay) = table.probes.relays.remove(&sequence) {
            let nack = GossipMessage::Nack {
                sequence: relay.requester_sequence,
            };
            outgoing.push(table.send(relay.requester, nack, Vec::new()));
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

/// Tries a member believed dead and a seed, so that parts of the fleet that were cut from each
/// other find together again.
fn reach(table: &mut MemberTable, now: Instant, rng: &mut SmallRng, outgoing: &mut Vec<Outgoing>) {
    if now < table.probes.next_reach {
        return;
    }
    table.probes.next_reach = now + table.settings.reach_interval;
    table.purge(now);
    let dead = table
        .members()
        .filter(|record| record.health == Health::Dead)
        .map(|record| record.node.address)
        .filter(|address| !has_live(table, *address))
        .choose(rng);
    let lost_seeds: Vec<SocketAddr> = table
        .seeds
        .iter()
        .copied()
        .filter(|seed| !has_live(table, *seed))
        .collect();
    let seed = lost_seeds.choose(rng).copied();
    for address in dead.into_iter().chain(seed) {
        outgoing.push(ping(table, address, None, now));
    }
}

fn has_live(table: &MemberTable, address: SocketAddr) -> bool {
    table
        .rows_at(address)
        .any(|row| row.record.health.is_live())
}

fn ping(
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

/// Pings an address on behalf of another node.
pub(crate) fn relay(
    table: &mut MemberTable,
    requester: SocketAddr,
    requester_sequence: u32,
    target: SocketAddr,
    now: Instant,
) -> Outgoing {
    let sequence = table.probes.next_sequence();
    let relay = Relay {
        requester,
        requester_sequence,
        sent: now,
    };
    table.probes.relays.insert(sequence, relay);
    table.send(target, GossipMessage::Ping { sequence }, Vec::new())
}

/// Somebody answered a ping of this node, or one made on its behalf.
pub(crate) fn acknowledge(
    table: &mut MemberTable,
    sequence: u32,
    responder: &GossipHeader,
    now: Instant,
) -> Vec<Outgoing> {
    let node: NodeId = responder.sender.into();
    if let Some(probe) = table.probes.probes.remove(&sequence) {
        if node.address == probe.address {
            table.settle_address(node, probe.sent, now);
        }
        table.local_health.lower();
    }
    let Some(relay) = table.probes.relays.remove(&sequence) else {
        return Vec::new();
    };
    let passed_on = GossipMessage::IndirectAck {
        sequence: relay.requester_sequence,
        responder: responder.sender,
        incarnation: responder.incarnation,
        leaving: responder.leaving,
    };
    vec![table.send(relay.requester, passed_on, Vec::new())]
}

/// A helper is well, but the member has not answered it.
pub(crate) fn count_nack(table: &mut MemberTable, from: SocketAddr, sequence: u32) {
    if let Some(probe) = table.probes.probes.get_mut(&sequence) {
        probe.silent.remove(&from);
    }
}
