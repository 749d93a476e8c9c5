//! The path of a call, written straight down: its entry, one attempt, its execution.

pub mod attempt;
pub mod claim;
pub mod entry;
pub mod execute;
pub mod headers;

use std::sync::Arc;

use bytes::Bytes;
use tallybridge_core::Refusal;
use tallybridge_wire::WireHeaders;

use crate::actor::executions::Closing;

/// A call as it is carried: everything that the back end gets.
#[derive(Debug, Clone)]
pub struct CarriedRequest {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path_and_query: String,
    /// End-to-end headers.
    pub headers: WireHeaders,
    /// Whole body.
    pub body: Bytes,
}

/// A back end's whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WholeAnswer {
    /// HTTP status.
    pub status: u16,
    /// End-to-end headers.
    pub headers: WireHeaders,
    /// Whole body.
    pub body: Bytes,
}

/// What comes back from the executing node.
#[derive(Debug, Clone)]
pub struct Executed {
    /// The back end's answer, or why there is none.
    pub result: Result<WholeAnswer, Refusal>,
    /// Whether the call was handed to the back end, whatever came of it.
    pub reached_backend: bool,
    /// Whether the outcome takes every attempt under the key into account.
    pub outcome_settled: bool,
    /// Unused retries and load.
    pub closing: Closing,
}

/// How a whole call ended.
#[derive(Debug, Clone)]
pub struct CallEnd {
    /// Identity of the whole request; `None` when it was refused before it had one.
    pub request_id: Option<Arc<str>>,
    /// The answer or the refusal.
    pub result: Result<WholeAnswer, Refusal>,
}
