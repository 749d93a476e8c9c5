//! Membership datagrams: typed messages with deku in a small checked envelope for UDP.
//!
//! Every datagram carries who sent it, the revisions that it has, a digest of its members table
//! and, behind the message itself, piggybacked updates about members.

mod address;
mod envelope;
mod update;

use deku::prelude::*;

pub use address::{WireAddress, WireNode};
use envelope::ENVELOPE_BYTES;
pub use envelope::{DatagramError, MAX_DATAGRAM_BYTES, decode_datagram, encode_datagram};
pub use update::{ShortText, WirePlacement, WireUpdate};

/// Parts into which members are divided by their hash for the comparison of two tables.
pub const DIGEST_BUCKETS: usize = 64;

/// What every datagram says about its sender, first-hand.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(
    endian = "endian",
    ctx = "endian: deku::ctx::Endian",
    ctx_default = "deku::ctx::Endian::Big"
)]
pub struct GossipHeader {
    /// The sender.
    pub sender: WireNode,
    /// The sender's incarnation.
    pub incarnation: u32,
    /// Whether the sender is leaving: 0 or 1.
    pub leaving: u8,
    /// Revision of the sender's configuration.
    pub revision: u64,
    /// Epoch of the sender's partition map.
    pub partition_epoch: u64,
    /// Digest of the sender's live members.
    pub table_digest: u64,
}

/// The message of a datagram.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(
    id_type = "u8",
    endian = "endian",
    ctx = "endian: deku::ctx::Endian",
    ctx_default = "deku::ctx::Endian::Big"
)]
pub enum GossipMessage {
    /// Asks whoever is at the address to answer.
    #[deku(id = "1")]
    Ping {
        /// Repeated by the answer.
        sequence: u32,
    },
    /// Answers a ping.
    #[deku(id = "2")]
    Ack {
        /// The ping's number.
        sequence: u32,
    },
    /// Asks the receiver to ping an address and to pass the answer on.
    #[deku(id = "3")]
    PingRequest {
        /// Repeated by the answer.
        sequence: u32,
        /// The address to ping.
        target: WireAddress,
    },
    /// The address asked about has answered.
    #[deku(id = "4")]
    IndirectAck {
        /// The ping request's number.
        sequence: u32,
        /// Who answered.
        responder: WireNode,
        /// The incarnation of who answered.
        incarnation: u32,
        /// Whether who answered is leaving: 0 or 1.
        leaving: u8,
    },
    /// The address asked about has not answered; the helper itself is well.
    #[deku(id = "5")]
    Nack {
        /// The ping request's number.
        sequence: u32,
    },
    /// Carries updates only.
    #[deku(id = "6")]
    Gossip,
    /// Asks for the records of the buckets that differ from the sender's.
    #[deku(id = "7")]
    TableCompare {
        /// Digest of each of the [`DIGEST_BUCKETS`] buckets of the sender's live members.
        #[deku(count = "DIGEST_BUCKETS")]
        buckets: Vec<u32>,
    },
    /// The updates are all live members whose hash lies in a range.
    #[deku(id = "8")]
    TableRange {
        /// Lowest hash.
        first: u64,
        /// Highest hash.
        last: u64,
        /// Whether the sender wants what it lacks in that range: 0 or 1.
        answer_wanted: u8,
    },
}

impl GossipMessage {
    /// Size on the wire, in bytes.
    #[must_use]
    pub const fn encoded_len(&self) -> usize {
        1 + match self {
            Self::Ping { .. } | Self::Ack { .. } | Self::Nack { .. } => 4,
            Self::PingRequest { target, .. } => 4 + target.encoded_len(),
            Self::IndirectAck { responder, .. } => 9 + responder.encoded_len(),
            Self::Gossip => 0,
            Self::TableCompare { .. } => 4 * DIGEST_BUCKETS,
            Self::TableRange { .. } => 17,
        }
    }
}

/// One membership datagram.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big")]
pub struct Datagram {
    /// Who sends.
    pub header: GossipHeader,
    /// Why.
    pub message: GossipMessage,
    count: u8,
    #[deku(count = "count")]
    updates: Vec<WireUpdate>,
}

impl Datagram {
    /// Most updates of one datagram.
    pub const MAX_UPDATES: usize = u8::MAX as usize;

    /// A datagram; updates beyond [`Self::MAX_UPDATES`] are left out.
    #[must_use]
    pub fn new(header: GossipHeader, message: GossipMessage, mut updates: Vec<WireUpdate>) -> Self {
        updates.truncate(Self::MAX_UPDATES);
        Self {
            header,
            message,
            count: u8::try_from(updates.len()).unwrap_or(u8::MAX),
            updates,
        }
    }

    /// The piggybacked updates.
    #[must_use]
    pub fn updates(&self) -> &[WireUpdate] {
        &self.updates
    }

    /// Size with its envelope, in bytes.
    #[must_use]
    pub fn encoded_len(&self) -> usize {
        let updates: usize = self.updates.iter().map(WireUpdate::encoded_len).sum();
        Self::bare_len(&self.header, &self.message) + updates
    }

    /// Size of a datagram without updates, with its envelope, in bytes.
    #[must_use]
    pub const fn bare_len(header: &GossipHeader, message: &GossipMessage) -> usize {
        const HEADER_FIXED_BYTES: usize = 29;
        const COUNT_BYTES: usize = 1;
        ENVELOPE_BYTES
            + HEADER_FIXED_BYTES
            + header.sender.encoded_len()
            + message.encoded_len()
            + COUNT_BYTES
    }
}
