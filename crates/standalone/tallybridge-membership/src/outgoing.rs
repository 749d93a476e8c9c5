//! Datagrams to be sent.

use std::net::SocketAddr;

use tallybridge_wire::{Datagram, GossipHeader, GossipMessage, MAX_DATAGRAM_BYTES, WireUpdate};

use crate::table::MemberTable;

/// Room for updates in a datagram while the byte budget is low, in bytes.
const LOW_PIGGYBACK_BYTES: usize = 256;

/// A datagram and where it goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// Peer address.
    pub to: SocketAddr,
    /// What to send.
    pub datagram: Datagram,
}

impl MemberTable {
    /// What every datagram says about this node.
    pub(crate) fn header(&self) -> GossipHeader {
        let own = self.own_record();
        GossipHeader {
            sender: own.node.into(),
            incarnation: own.incarnation.0,
            leaving: u8::from(own.leaving),
            revision: self.revision,
            partition_epoch: self.partition_epoch,
            table_digest: self.digest.whole(),
        }
    }

    /// A datagram with the updates given first and queued ones in the room that is left.
    pub(crate) fn send(
        &mut self,
        to: SocketAddr,
        message: GossipMessage,
        first: Vec<WireUpdate>,
    ) -> Outgoing {
        let header = self.header();
        let bare = Datagram::bare_len(&header, &message);
        let used: usize = first.iter().map(WireUpdate::encoded_len).sum();
        let room = MAX_DATAGRAM_BYTES.saturating_sub(bare + used);
        let room = if self.budget.is_low() {
            room.min(LOW_PIGGYBACK_BYTES)
        } else {
            room
        };
        let mut updates = first;
        updates.extend(self.queued_updates(room));
        self.send_exactly(to, message, updates)
    }

    /// A datagram with just the updates given.
    pub(crate) fn send_exactly(
        &mut self,
        to: SocketAddr,
        message: GossipMessage,
        updates: Vec<WireUpdate>,
    ) -> Outgoing {
        let datagram = Datagram::new(self.header(), message, updates);
        self.budget.charge(datagram.encoded_len());
        Outgoing { to, datagram }
    }
}
