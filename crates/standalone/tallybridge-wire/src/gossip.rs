//! Membership datagrams, which nodes exchange over UDP.
//!
//! Every datagram starts with an envelope, which holds the protocol version and a checksum. A header
//! with the identity, revisions and member table digest of the sender follows, then one message and
//! piggybacked updates about members.

mod address;
mod envelope;
mod update;

use deku::prelude::*;

pub use address::{WireAddress, WireNode};
use envelope::ENVELOPE_BYTES;
pub use envelope::{DatagramError, MAX_DATAGRAM_BYTES, decode_datagram, encode_datagram};
pub use update::{ShortText, WirePlacement, WireUpdate};

/// Number of buckets into which members are divided by their hash to compare two member tables.
pub const DIGEST_BUCKETS: usize = 64;

/// State of the sender, which is part of every datagram.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(
    endian = "endian",
    ctx = "endian: deku::ctx::Endian",
    ctx_default = "deku::ctx::Endian::Big"
)]
pub struct GossipHeader {
    /// Identity of the sender.
    pub sender: WireNode,
    /// Incarnation of the sender.
    pub incarnation: u32,
    /// Whether the sender is leaving: 0 or 1.
    pub leaving: u8,
    /// Revision of the sender's configuration.
    pub revision: u64,
    /// Epoch of the sender's partition map.
    pub partition_epoch: u64,
    /// Digest of all live members in the sender's table.
    pub table_digest: u64,
}

/// The message of a [`Datagram`].
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(
    id_type = "u8",
    endian = "endian",
    ctx = "endian: deku::ctx::Endian",
    ctx_default = "deku::ctx::Endian::Big"
)]
pub enum GossipMessage {
    /// Asks the node at the destination address to answer.
    #[deku(id = "1")]
    Ping {
        /// Number that the answer repeats.
        sequence: u32,
    },
    /// Answers a [`Self::Ping`].
    #[deku(id = "2")]
    Ack {
        /// Number of the ping.
        sequence: u32,
    },
    /// Asks the receiver to ping an address and to forward the result.
    #[deku(id = "3")]
    PingRequest {
        /// Number that the answer repeats.
        sequence: u32,
        /// The address to ping.
        target: WireAddress,
    },
    /// Reports that the target of a [`Self::PingRequest`] answered.
    #[deku(id = "4")]
    IndirectAck {
        /// Number of the ping request.
        sequence: u32,
        /// Identity of the node that answered.
        responder: WireNode,
        /// Incarnation of the node that answered.
        incarnation: u32,
        /// Whether the node that answered is leaving: 0 or 1.
        leaving: u8,
    },
    /// Reports that the target of a [`Self::PingRequest`] did not answer. The sender itself is
    /// reachable.
    #[deku(id = "5")]
    Nack {
        /// Number of the ping request.
        sequence: u32,
    },
    /// Carries piggybacked updates only.
    #[deku(id = "6")]
    Gossip,
    /// Asks for the members in each bucket whose digest differs from the sender's digest.
    #[deku(id = "7")]
    TableCompare {
        /// Digest of each of the [`DIGEST_BUCKETS`] buckets of the sender's live members.
        #[deku(count = "DIGEST_BUCKETS")]
        buckets: Vec<u32>,
    },
    /// States that the updates contain all live members whose hash is in a range.
    #[deku(id = "8")]
    TableRange {
        /// Lowest hash in the range.
        first: u64,
        /// Highest hash in the range, inclusive.
        last: u64,
        /// Whether the sender asks for the members in the range that it does not have: 0 or 1.
        answer_wanted: u8,
    },
}

impl GossipMessage {
    /// Returns the encoded size in bytes.
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
    /// State of the sender.
    pub header: GossipHeader,
    /// The message, which is encoded before the updates.
    pub message: GossipMessage,
    count: u8,
    #[deku(count = "count")]
    updates: Vec<WireUpdate>,
}

impl Datagram {
    /// Maximum number of updates in one datagram.
    pub const MAX_UPDATES: usize = u8::MAX as usize;

    /// Returns a datagram with at most [`Self::MAX_UPDATES`] of the updates and drops the rest.
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

    /// Returns the piggybacked updates.
    #[must_use]
    pub fn updates(&self) -> &[WireUpdate] {
        &self.updates
    }

    /// Returns the encoded size in bytes, including the envelope.
    #[must_use]
    pub fn encoded_len(&self) -> usize {
        let updates: usize = self.updates.iter().map(WireUpdate::encoded_len).sum();
        Self::bare_len(&self.header, &self.message) + updates
    }

    /// Returns the encoded size in bytes of a datagram without updates, including the envelope.
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
