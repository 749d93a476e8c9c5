//! Short text with its length in front.

use deku::prelude::*;

use crate::bytes_field::write_bytes;

/// UTF-8 text of at most 65,535 bytes.
#[derive(Debug, Clone, PartialEq, Eq, Default, DekuRead, DekuWrite)]
#[deku(
    endian = "endian",
    ctx = "endian: deku::ctx::Endian",
    ctx_default = "deku::ctx::Endian::Big"
)]
pub struct Text {
    length: u16,
    #[deku(count = "length", writer = "write_bytes(deku::writer, bytes)")]
    bytes: Vec<u8>,
}

impl Text {
    /// Wraps a text; what is beyond 65,535 bytes is cut off, which no checked name reaches.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self::from_bytes(text.as_bytes())
    }

    /// Wraps bytes that need not be UTF-8, such as the value of an HTTP header.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Self {
        let bytes = &bytes[..bytes.len().min(usize::from(u16::MAX))];
        Self {
            length: u16::try_from(bytes.len()).unwrap_or(u16::MAX),
            bytes: bytes.to_vec(),
        }
    }

    /// The text, or `None` when a peer sent bytes that are not UTF-8.
    #[must_use]
    pub fn as_str(&self) -> Option<&str> {
        std::str::from_utf8(&self.bytes).ok()
    }

    /// The text, with what is not UTF-8 replaced.
    #[must_use]
    pub fn to_string_lossy(&self) -> String {
        String::from_utf8_lossy(&self.bytes).into_owned()
    }

    /// The bytes as they were sent.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        &self.bytes
    }
}

impl From<&str> for Text {
    fn from(text: &str) -> Self {
        Self::new(text)
    }
}
