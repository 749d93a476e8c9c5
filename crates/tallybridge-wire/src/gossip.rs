//! Membership datagrams: typed messages with deku in a small checked envelope for UDP.
//!
//! Every datagram carries who sent it, the revisions that it has, a digest of its members table
//! and, behind the message itself, piggybacked updates about members.

use std::net::{IpAddr, SocketAddr};

use deku::prelude::*;
use tallybridge_core::{InstanceId, NodeId};

use crate::PROTOCOL_VERSION;

/// Largest datagram, in bytes: fits an Ethernet frame with IPv6 and UDP headers.
pub const MAX_DATAGRAM_BYTES: usize = 1400;

/// Version and CRC-32 in front of the payload, in bytes.
const ENVELOPE_BYTES: usize = 5;

/// Parts into which members are divided by their hash for the comparison of two tables.
pub const DIGEST_BUCKETS: usize = 64;

/// A datagram can't be sent or read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DatagramError {
    /// Longer than [`MAX_DATAGRAM_BYTES`].
    #[error("datagram of {0} bytes is above the limit of {MAX_DATAGRAM_BYTES}")]
    TooLarge(usize),
    /// Shorter than its envelope.
    #[error("datagram of {0} bytes is cut off")]
    TooShort(usize),
    /// The peer speaks another version.
    #[error("peer speaks protocol version {0}, this node speaks {PROTOCOL_VERSION}")]
    Version(u8),
    /// The payload was damaged on its way.
    #[error("datagram checksum does not match")]
    Checksum,
    /// The payload is not a datagram.
    #[error("malformed datagram: {0}")]
    Malformed(String),
}

/// A socket address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(
    id_type = "u8",
    endian = "endian",
    ctx = "endian: deku::ctx::Endian",
    ctx_default = "deku::ctx::Endian::Big"
)]
pub enum WireAddress {
    /// IPv4.
    #[deku(id = "4")]
    V4 {
        /// Octets of the address.
        octets: [u8; 4],
        /// Port.
        port: u16,
    },
    /// IPv6; scope and flow are not carried.
    #[deku(id = "6")]
    V6 {
        /// Octets of the address.
        octets: [u8; 16],
        /// Port.
        port: u16,
    },
}

impl WireAddress {
    /// Size on the wire, in bytes.
    #[must_use]
    pub const fn encoded_len(&self) -> usize {
        match self {
            Self::V4 { .. } => 7,
            Self::V6 { .. } => 19,
        }
    }
}

impl From<SocketAddr> for WireAddress {
    fn from(address: SocketAddr) -> Self {
        let port = address.port();
        match address.ip() {
            IpAddr::V4(ip) => Self::V4 {
                octets: ip.octets(),
                port,
            },
            IpAddr::V6(ip) => Self::V6 {
                octets: ip.octets(),
                port,
            },
        }
    }
}

impl From<WireAddress> for SocketAddr {
    fn from(address: WireAddress) -> Self {
        match address {
            WireAddress::V4 { octets, port } => Self::from((octets, port)),
            WireAddress::V6 { octets, port } => Self::from((octets, port)),
        }
    }
}

/// A [`NodeId`] in its wire form.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(
    endian = "endian",
    ctx = "endian: deku::ctx::Endian",
    ctx_default = "deku::ctx::Endian::Big"
)]
pub struct WireNode {
    address: WireAddress,
    instance: u64,
}

impl WireNode {
    /// Size on the wire, in bytes.
    #[must_use]
    pub const fn encoded_len(&self) -> usize {
        self.address.encoded_len() + size_of::<u64>()
    }
}

impl From<NodeId> for WireNode {
    fn from(node: NodeId) -> Self {
        Self {
            address: node.address.into(),
            instance: node.instance.0,
        }
    }
}

impl From<WireNode> for NodeId {
    fn from(node: WireNode) -> Self {
        Self {
            address: node.address.into(),
            instance: InstanceId(node.instance),
        }
    }
}

/// Text of at most 255 bytes with its length in front.
#[derive(Debug, Clone, PartialEq, Eq, Default, DekuRead, DekuWrite)]
#[deku(
    endian = "endian",
    ctx = "endian: deku::ctx::Endian",
    ctx_default = "deku::ctx::Endian::Big"
)]
pub struct ShortText {
    length: u8,
    #[deku(count = "length")]
    bytes: Vec<u8>,
}

impl ShortText {
    /// Wraps a text; what is beyond 255 bytes is cut off at a character's end, which no checked
    /// name reaches.
    #[must_use]
    pub fn new(text: &str) -> Self {
        let longest = text.len().min(usize::from(u8::MAX));
        let end = (0..=longest)
            .rev()
            .find(|end| text.is_char_boundary(*end))
            .unwrap_or_default();
        let bytes = text.as_bytes()[..end].to_vec();
        Self {
            length: u8::try_from(end).unwrap_or(u8::MAX),
            bytes,
        }
    }

    /// The text, or `None` when a peer sent bytes that are not UTF-8.
    #[must_use]
    pub fn as_str(&self) -> Option<&str> {
        std::str::from_utf8(&self.bytes).ok()
    }

    /// Size on the wire, in bytes.
    #[must_use]
    pub fn encoded_len(&self) -> usize {
        1 + self.bytes.len()
    }
}

/// Where a member is and what it serves.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(
    endian = "endian",
    ctx = "endian: deku::ctx::Endian",
    ctx_default = "deku::ctx::Endian::Big"
)]
pub struct WirePlacement {
    /// Service of the back end beside the member; empty when it has none.
    pub service: ShortText,
    /// Region.
    pub region: ShortText,
    /// Zone.
    pub zone: ShortText,
    /// Rack; empty when unknown.
    pub rack: ShortText,
}

impl WirePlacement {
    /// Size on the wire, in bytes.
    #[must_use]
    pub fn encoded_len(&self) -> usize {
        self.service.encoded_len()
            + self.region.encoded_len()
            + self.zone.encoded_len()
            + self.rack.encoded_len()
    }
}

/// What the sender believes about one member.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(
    endian = "endian",
    ctx = "endian: deku::ctx::Endian",
    ctx_default = "deku::ctx::Endian::Big"
)]
pub struct WireUpdate {
    /// The member.
    pub node: WireNode,
    /// Incarnation that the belief is about.
    pub incarnation: u32,
    /// Health as its wire value.
    pub health: u8,
    /// Whether the member is leaving: 0 or 1.
    pub leaving: u8,
    /// Short digest of the node whose own probe failed; 0 for none.
    pub reporter: u32,
    has_placement: u8,
    #[deku(cond = "*has_placement != 0")]
    placement: Option<WirePlacement>,
}

impl WireUpdate {
    /// A belief about one member, with its placement where the receiver may not know it.
    #[must_use]
    pub fn new(
        node: NodeId,
        incarnation: u32,
        health: u8,
        leaving: bool,
        reporter: u32,
        placement: Option<WirePlacement>,
    ) -> Self {
        Self {
            node: node.into(),
            incarnation,
            health,
            leaving: u8::from(leaving),
            reporter,
            has_placement: u8::from(placement.is_some()),
            placement,
        }
    }

    /// The placement, when it was sent.
    #[must_use]
    pub fn placement(&self) -> Option<&WirePlacement> {
        self.placement.as_ref()
    }

    /// Size on the wire, in bytes.
    #[must_use]
    pub fn encoded_len(&self) -> usize {
        const FIXED_BYTES: usize = 11;
        let placement = self.placement.as_ref();
        FIXED_BYTES + self.node.encoded_len() + placement.map_or(0, WirePlacement::encoded_len)
    }
}

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

/// The bytes of a datagram.
///
/// # Errors
///
/// [`DatagramError::TooLarge`] above [`MAX_DATAGRAM_BYTES`].
pub fn encode_datagram(datagram: &Datagram) -> Result<Vec<u8>, DatagramError> {
    let payload = datagram
        .to_bytes()
        .map_err(|error| DatagramError::Malformed(error.to_string()))?;
    let length = ENVELOPE_BYTES + payload.len();
    if length > MAX_DATAGRAM_BYTES {
        return Err(DatagramError::TooLarge(length));
    }
    let mut bytes = Vec::with_capacity(length);
    bytes.push(PROTOCOL_VERSION);
    bytes.extend_from_slice(&crc32fast::hash(&payload).to_be_bytes());
    bytes.extend_from_slice(&payload);
    Ok(bytes)
}

/// Reads the bytes of a datagram.
///
/// # Errors
///
/// [`DatagramError`] when the bytes are not a whole, undamaged datagram of this version.
pub fn decode_datagram(bytes: &[u8]) -> Result<Datagram, DatagramError> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(DatagramError::TooLarge(bytes.len()));
    }
    let Some((envelope, payload)) = bytes.split_first_chunk::<ENVELOPE_BYTES>() else {
        return Err(DatagramError::TooShort(bytes.len()));
    };
    let [version, checksum @ ..] = *envelope;
    if version != PROTOCOL_VERSION {
        return Err(DatagramError::Version(version));
    }
    if crc32fast::hash(payload) != u32::from_be_bytes(checksum) {
        return Err(DatagramError::Checksum);
    }
    let ((rest, _), datagram) = Datagram::from_bytes((payload, 0))
        .map_err(|error| DatagramError::Malformed(error.to_string()))?;
    if rest.is_empty() {
        Ok(datagram)
    } else {
        let reason = format!("{} bytes too many", rest.len());
        Err(DatagramError::Malformed(reason))
    }
}
