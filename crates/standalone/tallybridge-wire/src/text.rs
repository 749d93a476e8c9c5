//! Text fields, which are prefixed with their length.

use deku::prelude::*;

use crate::bytes_field::write_bytes;

/// A text of at most 65,535 bytes, usually in UTF-8.
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
    /// Returns the text, truncated to 65,535 bytes. Validated names are shorter than this limit.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self::from_bytes(text.as_bytes())
    }

    /// Returns a text from bytes that may not be UTF-8, for example the value of an HTTP header.
    /// Truncates the bytes as [`Self::new`] does.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Self {
        let bytes = &bytes[..bytes.len().min(usize::from(u16::MAX))];
        Self {
            length: u16::try_from(bytes.len()).unwrap_or(u16::MAX),
            bytes: bytes.to_vec(),
        }
    }

    /// Returns the text, or `None` when the bytes are not valid UTF-8.
    #[must_use]
    pub fn as_str(&self) -> Option<&str> {
        std::str::from_utf8(&self.bytes).ok()
    }

    /// Returns the text with invalid UTF-8 sequences replaced by U+FFFD.
    #[must_use]
    pub fn to_string_lossy(&self) -> String {
        String::from_utf8_lossy(&self.bytes).into_owned()
    }

    /// Returns the bytes, which may not be valid UTF-8.
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
