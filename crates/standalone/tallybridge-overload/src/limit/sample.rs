//! The result and latency of a finished call, as input of the concurrency limit.

use std::time::Duration;

/// How a call ended, as seen by the concurrency limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SampleResult {
    /// The back end answered, so the latency is valid.
    Success,
    /// The back end shed the call, or the call timed out.
    Overload,
    /// The call says nothing about load, for example after a cancellation, a network failure or a
    /// client error.
    Ignore,
}

/// The latency and the result of one finished call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sample {
    /// The time from dispatch to the back end until its complete answer.
    pub latency: Duration,
    /// The result, which decides whether the latency counts.
    pub result: SampleResult,
    /// A stable number for calls of similar unloaded latency, such as those of one template or
    /// path.
    pub kind: u16,
}
