//! Pings on behalf of other nodes.

use std::{net::SocketAddr, time::Instant};

use tallybridge_wire::{GossipHeader, GossipMessage};

use crate::{outgoing::Outgoing, table::MemberTable};

/// Part of the time between a helper's ping and the probe's end after which the helper says that
/// it got no answer.
const NACK_AFTER: f64 = 0.7;

/// A ping on behalf of another node.
#[derive(Debug)]
pub(crate) struct Relay {
    requester: SocketAddr,
    requester_sequence: u32,
    sent: Instant,
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

/// Passes an answer on, when the ping was on behalf of another node.
pub(crate) fn pass_on(
    table: &mut MemberTable,
    sequence: u32,
    responder: &GossipHeader,
) -> Option<Outgoing> {
    let relay = table.probes.relays.remove(&sequence)?;
    let passed_on = GossipMessage::IndirectAck {
        sequence: relay.requester_sequence,
        responder: responder.sender,
        incarnation: responder.incarnation,
        leaving: responder.leaving,
    };
    Some(table.send(relay.requester, passed_on, Vec::new()))
}

/// Tells requesters that their member has not answered.
pub(crate) fn end_relays(table: &mut MemberTable, now: Instant, outgoing: &mut Vec<Outgoing>) {
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
