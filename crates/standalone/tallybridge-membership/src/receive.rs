//! Handling of received datagrams.

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

/// Applies one datagram to the table and returns the datagrams to send in response.
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
    apply_updates(table, &datagram, now);
    apply_header(table, sender, &datagram.header, now);
    let mut outgoing = handle_message(table, from, &datagram, now, rng);
    if outgoing.is_empty() {
        let has_refuted = table.own_record().incarnation != own_incarnation;
        outgoing.extend(unsolicited_reply(
            table,
            from,
            sender,
            &datagram.header,
            has_refuted,
        ));
    }
    outgoing.extend(request_comparison_if_needed(
        table,
        from,
        sender,
        &datagram.header,
        now,
    ));
    observe_revision(table, sender, &datagram.header, now);
    outgoing
}

fn apply_updates(table: &mut MemberTable, datagram: &Datagram, now: Instant) {
    let source = match datagram.message {
        GossipMessage::TableRange { .. } => Source::Comparison,
        _ => Source::Gossip,
    };
    for update in datagram.updates() {
        if let Some(claim) = Claim::from_update(update) {
            table.apply_claim(claim, source, now);
        }
    }
}

/// Applies a header as an update about its sender.
fn apply_header(table: &mut MemberTable, sender: NodeId, header: &GossipHeader, now: Instant) {
    if table.members.contains_key(&sender) {
        let claim = Claim {
            node: sender,
            incarnation: Incarnation(header.incarnation),
            health: Health::Alive,
            leaving: header.leaving != 0,
            reporter: Reporter::NONE,
            placement: None,
        };
        table.apply_claim(claim, Source::Gossip, now);
    }
}

fn handle_message(
    table: &mut MemberTable,
    from: SocketAddr,
    datagram: &Datagram,
    now: Instant,
    rng: &mut SmallRng,
) -> Vec<Outgoing> {
    let sender: NodeId = datagram.header.sender.into();
    match &datagram.message {
        GossipMessage::Ping { sequence } => {
            let notice = health_notice(table, sender, &datagram.header);
            let ack = GossipMessage::Ack {
                sequence: *sequence,
            };
            vec![table.build_datagram(from, ack, notice.into_iter().collect())]
        }
        GossipMessage::Ack { sequence } => {
            probe::handle_ack(table, *sequence, &datagram.header, now)
                .into_iter()
                .collect()
        }
        GossipMessage::PingRequest { sequence, target } => {
            vec![relay::start_relay(
                table,
                from,
                *sequence,
                (*target).into(),
                now,
            )]
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
            apply_header(table, responder.sender.into(), &responder, now);
            probe::handle_ack(table, *sequence, &responder, now)
                .into_iter()
                .collect()
        }
        GossipMessage::Nack { sequence } => {
            probe::handle_nack(table, from, *sequence);
            Vec::new()
        }
        GossipMessage::Gossip => Vec::new(),
        GossipMessage::TableCompare { buckets } => {
            table_range::answer_comparison(table, from, buckets, rng)
        }
        GossipMessage::TableRange {
            first,
            last,
            answer_wanted: 1,
        } => table_range::missing_updates(table, from, (*first, *last), datagram.updates()),
        GossipMessage::TableRange { .. } => Vec::new(),
    }
}

/// Builds a reply that informs the sender about its own suspicion or death, or about this node's
/// refutation of a claim in the datagram.
fn unsolicited_reply(
    table: &mut MemberTable,
    from: SocketAddr,
    sender: NodeId,
    header: &GossipHeader,
    has_refuted: bool,
) -> Option<Outgoing> {
    let notice = health_notice(table, sender, header);
    if notice.is_none() && !has_refuted {
        return None;
    }
    Some(table.build_datagram(from, GossipMessage::Gossip, notice.into_iter().collect()))
}

/// Returns the record of a sender that is suspected or declared dead, so that the sender can refute
/// it.
fn health_notice(table: &MemberTable, sender: NodeId, header: &GossipHeader) -> Option<WireUpdate> {
    let record = &table.members.get(&sender)?.record;
    let is_suspect_or_dead = matches!(record.health, Health::Suspect | Health::Dead);
    let is_current = record.incarnation >= Incarnation(header.incarnation);
    (is_suspect_or_dead && is_current).then(|| to_update(record, Reporter::NONE, false))
}

/// Requests a comparison from a sender that is unknown or whose table differs.
fn request_comparison_if_needed(
    table: &mut MemberTable,
    from: SocketAddr,
    sender: NodeId,
    header: &GossipHeader,
    now: Instant,
) -> Option<Outgoing> {
    if !table.members.contains_key(&sender) && !table.budget.is_spent() {
        return Some(anti_entropy::request_comparison(table, from));
    }
    anti_entropy::observe_digest(table, from, header, now)
}

fn observe_revision(table: &mut MemberTable, sender: NodeId, header: &GossipHeader, now: Instant) {
    let is_ahead =
        header.revision > table.revision || header.partition_epoch > table.partition_epoch;
    if is_ahead && table.is_live(sender) && table.gossip_rounds.try_report_peer_ahead(header, now) {
        table.events.push_back(MemberEvent::PeerAhead {
            node: sender,
            revision: header.revision,
            partition_epoch: header.partition_epoch,
        });
    }
}
