//! Updates about members.

use deku::prelude::*;
use tallybridge_core::NodeId;

use super::WireNode;

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
