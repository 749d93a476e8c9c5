//! What one finished call tells about its back end.

use std::time::Duration;

/// How a call ended, as far as the concurrency limit is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SampleResult {
    /// The back end answered; the latency counts.
    Success,
    /// The back end shed the call or let it time out.
    Overload,
    /// The call says nothing about load: cancelled, refused by the network, a client's error.
    Ignore,
}

/// What one finished call tells about its back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sample {
    /// From the hand-over to the back end to its whole answer.
    pub latency: Duration,
    /// How the call ended.
    pub result: SampleResult,
    /// Calls of one kind (a template, a path) share a natural latency; any stable number.
    pub kind: u16,
}
