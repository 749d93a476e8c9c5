//! What a datagram from a peer brings about.

use std::{net::SocketAddr, time::Instant};

use rand::rngs::SmallRng;
use tallybridge_core::NodeId;
use tallybridge_wire::{Datagram, GossipHeader, GossipMessage, WireUpdate};

use crate::{
    anti_entropy,
    convert::to_update,
    event::MemberEvent,
    member::{Health, Incarnation},
    merge::{Claim, Reporter, Source},
    outgoing::Outgoing,
    probe, relay,
    table::MemberTable,
    table_range,
};

/// Takes in one datagram and returns what is to be sent because of it.
pub fn receive(
    table: &mut MemberTable,
    from: SocketAddr,
    datagram: Datagram,
    now: Instant,
    rng: &mut SmallRng,
) -> Vec<Outgoing> {
    let sender: NodeId = datagram.header.sender.into();
    if sender == table.own {
        return Vec::new();
    }
    table.budget.refill(now);
    let own_incarnation = table.own_record().incarnation;
    hear_updates(table, &datagram, now);
    hear_sender(table, sender, &datagram.header, now);
    let mut outgoing = answer(table, from, &datagram, now, rng);
    if outgoing.is_empty() {
        let refuted = table.own_record().incarnation != own_incarnation;
        outgoing.extend(reply_unasked(
            table,
            from,
            sender,
            &datagram.header,
            refuted,
        ));
    }
    outgoing.extend(ask_stranger(table, from, sender, &datagram.header, now));
    observe_revision(table, sender, &datagram.header, now);
    outgoing
}

fn hear_updates(table: &mut MemberTable, datagram: &Datagram, now: Instant) {
    let source = match datagram.message {
        GossipMessage::TableRange { .. } => Source::Comparison,
        _ => Source::Gossip,
    };
    for update in datagram.updates() {
        if let Some(claim) = Claim::from_update(update) {
            table.weigh(claim, source, now);
        }
    }
}

/// A sender's own incarnation is as good as an update about it.
fn hear_sender(table: &mut MemberTable, sender: NodeId, header: &GossipHeader, now: Instant) {
    if table.members.contains_key(&sender) {
        let claim = Claim {
            node: sender,
            incarnation: Incarnation(header.incarnation),
            health: Health::Alive,
            leaving: header.leaving != 0,
            reporter: Reporter::NONE,
            placement: None,
        };
        table.weigh(claim, Source::Gossip, now);
    }
}

fn answer(
    table: &mut MemberTable,
    from: SocketAddr,
    datagram: &Datagram,
    now: Instant,
    rng: &mut SmallRng,
) -> Vec<Outgoing> {
    let sender: NodeId = datagram.header.sender.into();
    match &datagram.message {
        GossipMessage::Ping { sequence } => {
            let notice = notice(table, sender, &datagram.header);
            let ack = GossipMessage::Ack {
                sequence: *sequence,
            };
            vec![table.send(from, ack, notice.into_iter().collect())]
        }
        GossipMessage::Ack { sequence } => {
            probe::acknowledge(table, *sequence, &datagram.header, now)
                .into_iter()
                .collect()
        }
        GossipMessage::PingRequest { sequence, target } => {
            vec![relay::relay(table, from, *sequence, (*target).into(), now)]
        }
        GossipMessage::IndirectAck {
            sequence,
            responder,
            incarnation,
            leaving,
        } => {
            let responder = GossipHeader {
                sender: *responder,
                incarnation: *incarnation,
                leaving: *leaving,
                ..datagram.header.clone()
            };
            hear_sender(table, responder.sender.into(), &responder, now);
            probe::acknowledge(table, *sequence, &responder, now)
                .into_iter()
                .collect()
        }
        GossipMessage::Nack { sequence } => {
            probe::count_nack(table, from, *sequence);
            Vec::new()
        }
        GossipMessage::Gossip => Vec::new(),
        GossipMessage::TableCompare { buckets } => table_range::answer(table, from, buckets, rng),
        GossipMessage::TableRange {
            first,
            last,
            answer_wanted: 1,
        } => table_range::complete(table, from, (*first, *last), datagram.updates()),
        GossipMessage::TableRange { .. } => Vec::new(),
    }
}

/// Tells a sender that it is doubted, or that this node has just refuted what it said.
fn reply_unasked(
    table: &mut MemberTable,
    from: SocketAddr,
    sender: NodeId,
    header: &GossipHeader,
    refuted: bool,
) -> Option<Outgoing> {
    let notice = notice(table, sender, header);
    if notice.is_none() && !refuted {
        return None;
    }
    Some(table.send(from, GossipMessage::Gossip, notice.into_iter().collect()))
}

/// What is believed of a sender that is suspected or held dead, so that it can refute.
fn notice(table: &MemberTable, sender: NodeId, header: &GossipHeader) -> Option<WireUpdate> {
    let record = &table.members.get(&sender)?.record;
    let doubted = matches!(record.health, Health::Suspect | Health::Dead);
    let stands = record.incarnation >= Incarnation(header.incarnation);
    (doubted && stands).then(|| to_update(record, Reporter::NONE, false))
}

/// Asks a sender that is not known, or whose table differs, for what differs.
fn ask_stranger(
    table: &mut MemberTable,
    from: SocketAddr,
    sender: NodeId,
    header: &GossipHeader,
    now: Instant,
) -> Option<Outgoing> {
    if !table.members.contains_key(&sender) && !table.budget.is_spent() {
        return Some(anti_entropy::compare(table, from));
    }
    anti_entropy::observe_digest(table, from, header, now)
}

fn observe_revision(table: &mut MemberTable, sender: NodeId, header: &GossipHeader, now: Instant) {
    let ahead = header.revision > table.revision || header.partition_epoch > table.partition_epoch;
    if ahead && table.is_live(sender) && table.rounds.is_news(header, now) {
        table.events.push_back(MemberEvent::PeerAhead {
            node: sender,
            revision: header.revision,
            partition_epoch: header.partition_epoch,
        });
    }
}
