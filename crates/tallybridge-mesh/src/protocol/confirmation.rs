//! What a node that watches the store passes on of how fresh the configuration is, and the clock
//! by which its peers date that.

use deku::prelude::*;

/// The sender watches the store, which confirmed that no configuration is newer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big")]
pub struct ConfirmationMessage {
    /// Version of the sender's configuration; 0 for none.
    pub version: u64,
    /// Time since the sender asked the store, in milliseconds.
    pub age_ms: u32,
    /// When the sender asked for the configuration that it last read from the store itself, in
    /// milliseconds on its own clock; 0 for never.
    pub read_at_ms: u64,
}

/// The sender's clock, sent in answer to the hello of the node that opened the link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big")]
pub struct ClockMessage {
    /// The time at which it was sent, in milliseconds since the sender's process began.
    pub now_ms: u64,
}
