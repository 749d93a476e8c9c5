//! Messages by which a node that watches the store reports to its peers how fresh the configuration
//! is.

use deku::prelude::*;

/// Reports that the store confirmed the sender's configuration as the newest one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big")]
pub struct ConfirmationMessage {
    /// Version of the sender's configuration; 0 if it has none.
    pub version: u64,
    /// Time since the sender sent the request that the store answered with the confirmation, in
    /// milliseconds.
    pub age_ms: u32,
    /// Time of the request by which the sender last read the configuration from the store, in
    /// milliseconds on the clock of [`ClockMessage::now_ms`]; 0 if the sender never read it there.
    pub read_at_ms: u64,
}

/// The sender's clock, sent in reply to the hello of the node that opened the link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big")]
pub struct ClockMessage {
    /// Time of sending, in milliseconds since the sender's process started.
    pub now_ms: u64,
}
