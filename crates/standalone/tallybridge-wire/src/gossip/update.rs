//! Piggybacked updates about the members that a node knows.

use deku::prelude::*;
use tallybridge_core::NodeId;

use super::WireNode;

/// A text of at most 255 bytes, prefixed with its length.
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
    /// Returns the text, truncated at a character boundary to at most 255 bytes. Validated names are
    /// shorter than this limit.
    #[must_use]
    pub fn new(text: &str) -> Self {
        let max_end = text.len().min(usize::from(u8::MAX));
        let end = (0..=max_end)
            .rev()
            .find(|end| text.is_char_boundary(*end))
            .unwrap_or_default();
        let bytes = text.as_bytes()[..end].to_vec();
        Self {
            length: u8::try_from(end).unwrap_or(u8::MAX),
            bytes,
        }
    }

    /// Returns the text, or `None` when the bytes are not valid UTF-8.
    #[must_use]
    pub fn as_str(&self) -> Option<&str> {
        std::str::from_utf8(&self.bytes).ok()
    }

    /// Returns the encoded size in bytes.
    #[must_use]
    pub fn encoded_len(&self) -> usize {
        1 + self.bytes.len()
    }
}

/// Location of a member and the service of its back end.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(
    endian = "endian",
    ctx = "endian: deku::ctx::Endian",
    ctx_default = "deku::ctx::Endian::Big"
)]
pub struct WirePlacement {
    /// Service of the member's back end; empty when the member has no back end.
    pub service: ShortText,
    /// Region of the member.
    pub region: ShortText,
    /// Zone of the member within its region.
    pub zone: ShortText,
    /// Rack of the member; empty when unknown.
    pub rack: ShortText,
}

impl WirePlacement {
    /// Returns the encoded size in bytes.
    #[must_use]
    pub fn encoded_len(&self) -> usize {
        self.service.encoded_len()
            + self.region.encoded_len()
            + self.zone.encoded_len()
            + self.rack.encoded_len()
    }
}

/// Health of one member as the sender knows it.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(
    endian = "endian",
    ctx = "endian: deku::ctx::Endian",
    ctx_default = "deku::ctx::Endian::Big"
)]
pub struct WireUpdate {
    /// Identity of the member.
    pub node: WireNode,
    /// Incarnation of the member that the health applies to.
    pub incarnation: u32,
    /// Wire value of the member's health.
    pub health: u8,
    /// Whether the member is leaving: 0 or 1.
    pub leaving: u8,
    /// Digest of the identity of the node whose probe of the member failed; 0 when there is none.
    pub reporter: u32,
    has_placement: u8,
    #[deku(cond = "*has_placement != 0")]
    placement: Option<WirePlacement>,
}

impl WireUpdate {
    /// Returns an update. The sender sets `placement` when the receiver may not know the placement of
    /// the member.
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

    /// Returns the placement, or `None` when the update does not contain one.
    #[must_use]
    pub fn placement(&self) -> Option<&WirePlacement> {
        self.placement.as_ref()
    }

    /// Returns the encoded size in bytes.
    #[must_use]
    pub fn encoded_len(&self) -> usize {
        const FIXED_BYTES: usize = 11;
        let placement = self.placement.as_ref();
        FIXED_BYTES + self.node.encoded_len() + placement.map_or(0, WirePlacement::encoded_len)
    }
}
