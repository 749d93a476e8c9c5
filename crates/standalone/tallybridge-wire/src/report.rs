//! Messages with JSON payloads: status and decision reports for operators, and configuration
//! snapshots. None of them is on the path of a call.

use deku::prelude::*;

use crate::text::Text;

/// One JSON value, prefixed with its length.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big")]
pub struct JsonReport {
    length: u32,
    /// Text of the JSON value.
    #[deku(count = "length")]
    pub json: Vec<u8>,
}

impl JsonReport {
    /// Returns a message with the given text of a JSON value.
    #[must_use]
    pub fn new(json: Vec<u8>) -> Self {
        Self {
            length: u32::try_from(json.len()).unwrap_or(u32::MAX),
            json,
        }
    }
}

/// Asks a node for its decisions about one request.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big")]
pub struct ExplainFetch {
    /// Identifier of the request, as in [`CallHead::request_id`](crate::CallHead::request_id).
    pub request_id: Text,
}
