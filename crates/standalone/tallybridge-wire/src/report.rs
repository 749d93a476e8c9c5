//! What nodes tell each other for operators, and the whole configuration: JSON, off the path of
//! calls.

use deku::prelude::*;

use crate::text::Text;

/// One JSON value with its length in front.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big")]
pub struct JsonReport {
    length: u32,
    /// The value's text.
    #[deku(count = "length")]
    pub json: Vec<u8>,
}

impl JsonReport {
    /// Wraps the text of a JSON value.
    #[must_use]
    pub fn new(json: Vec<u8>) -> Self {
        Self {
            length: u32::try_from(json.len()).unwrap_or(u32::MAX),
            json,
        }
    }
}

/// Asks what was decided for one request.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big")]
pub struct ExplainFetch {
    /// Identity of the whole request.
    pub request_id: Text,
}
