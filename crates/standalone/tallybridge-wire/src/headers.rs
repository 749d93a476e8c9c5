//! Wire form of HTTP headers.

use deku::prelude::*;

use crate::text::Text;

/// Name and value of one HTTP header.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(
    endian = "endian",
    ctx = "endian: deku::ctx::Endian",
    ctx_default = "deku::ctx::Endian::Big"
)]
pub struct WireHeader {
    /// Name of the header in lower case.
    pub name: Text,
    /// Value of the header, which is not necessarily UTF-8.
    pub value: Text,
}

/// A list of HTTP headers, prefixed with its length.
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
    /// Returns the list in its wire form. The list must have at most 65,535 headers, which is far
    /// more than HTTP libraries accept.
    #[must_use]
    pub fn new(headers: Vec<WireHeader>) -> Self {
        Self {
            count: u16::try_from(headers.len()).unwrap_or(u16::MAX),
            headers,
        }
    }

    /// Returns the headers in the order of the list.
    pub fn iter(&self) -> impl Iterator<Item = &WireHeader> {
        self.headers.iter()
    }
}
