//! Construction of outgoing datagrams.

use std::net::SocketAddr;

use tallybridge_wire::{Datagram, GossipHeader, GossipMessage, MAX_DATAGRAM_BYTES, WireUpdate};

use crate::table::MemberTable;

/// Maximum size of the piggybacked updates of a datagram while the byte budget is low.
const LOW_PIGGYBACK_BYTES: usize = 256;

/// Datagram that the caller must send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// Destination address.
    pub to: SocketAddr,
    /// Datagram in decoded form; its size is already charged to the byte budget.
    pub datagram: Datagram,
}

impl MemberTable {
    /// Builds the header that every datagram of this node carries.
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

    /// Builds a datagram with the given updates and fills the remaining space with queued ones.
    pub(crate) fn build_datagram(
        &mut self,
        to: SocketAddr,
        message: GossipMessage,
        leading_updates: Vec<WireUpdate>,
    ) -> Outgoing {
        let header = self.header();
        let fixed_len = Datagram::bare_len(&header, &message);
        let leading_len: usize = leading_updates.iter().map(WireUpdate::encoded_len).sum();
        let room = MAX_DATAGRAM_BYTES.saturating_sub(fixed_len + leading_len);
        let room = if self.budget.is_low() {
            room.min(LOW_PIGGYBACK_BYTES)
        } else {
            room
        };
        let mut updates = leading_updates;
        updates.extend(self.queued_updates(room));
        self.build_exact_datagram(to, message, updates)
    }

    /// Builds a datagram with only the given updates.
    pub(crate) fn build_exact_datagram(
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
