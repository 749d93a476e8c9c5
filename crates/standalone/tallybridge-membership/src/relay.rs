//! Indirect probes: pings that this node sends as a helper of other nodes.

use std::{net::SocketAddr, time::Instant};

use tallybridge_wire::{GossipHeader, GossipMessage};

use crate::{outgoing::Outgoing, table::MemberTable};

/// Fraction of the time between the ping timeout and the probe timeout after which a helper sends a
/// nack. The rest leaves time for the nack to arrive before the probe ends.
const NACK_DELAY_FRACTION: f64 = 0.7;

#[derive(Debug)]
pub(crate) struct Relay {
    requester: SocketAddr,
    requester_sequence: u32,
    sent: Instant,
}

pub(crate) fn start_relay(
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
    table.build_datagram(target, GossipMessage::Ping { sequence }, Vec::new())
}

/// Forwards an ack to the requester if its ping was sent on behalf of another node.
pub(crate) fn forward_ack(
    table: &mut MemberTable,
    sequence: u32,
    responder: &GossipHeader,
) -> Option<Outgoing> {
    let relay = table.probes.relays.remove(&sequence)?;
    let indirect_ack = GossipMessage::IndirectAck {
        sequence: relay.requester_sequence,
        responder: responder.sender,
        incarnation: responder.incarnation,
        leaving: responder.leaving,
    };
    Some(table.build_datagram(relay.requester, indirect_ack, Vec::new()))
}

/// Ends relays without a timely answer and sends a nack to each requester.
pub(crate) fn expire_relays(table: &mut MemberTable, now: Instant, outgoing: &mut Vec<Outgoing>) {
    let probe_remainder = table.settings.probe_timeout - table.settings.ping_timeout;
    let nack_delay = probe_remainder.mul_f64(NACK_DELAY_FRACTION);
    let expired: Vec<u32> = table
        .probes
        .relays
        .iter()
        .filter(|(_, relay)| now.saturating_duration_since(relay.sent) >= nack_delay)
        .map(|(sequence, _)| *sequence)
        .collect();
    for sequence in expired {
        if let Some(relay) = table.probes.relays.remove(&sequence) {
            let nack = GossipMessage::Nack {
                sequence: relay.requester_sequence,
            };
            outgoing.push(table.build_datagram(relay.requester, nack, Vec::new()));
        }
    }
}
