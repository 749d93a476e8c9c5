//! HTTP headers in their wire form.

use deku::prelude::*;

use crate::text::Text;

/// One HTTP header.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(
    endian = "endian",
    ctx = "endian: deku::ctx::Endian",
    ctx_default = "deku::ctx::Endian::Big"
)]
pub struct WireHeader {
    /// Lower-case name.
    pub name: Text,
    /// Value; may hold any bytes that HTTP allows.
    pub value: Text,
}

/// A list of HTTP headers with its length in front.
#[derive(Debug, Clone, PartialEq, Eq, Default, DekuRead, DekuWrite)]
#[deku(
    endian = "endian",
    ctx = "endian: deku::ctx::Endian",
    ctx_default = "deku::ctx::Endian::Big"
)]
pub struct WireHeaders {
    count: u16,
    #[deku(count = "count")]
    headers: Vec<WireHeader>,
}

impl WireHeaders {
    /// Wraps a list; HTTP libraries refuse messages with anywhere near 65,535 headers.
    #[must_use]
    pub fn new(headers: Vec<WireHeader>) -> Self {
        Self {
            count: u16::try_from(headers.len()).unwrap_or(u16::MAX),
            headers,
        }
    }

    /// The headers in order.
    pub fn iter(&self) -> impl Iterator<Item = &WireHeader> {
        self.headers.iter()
    }
}
