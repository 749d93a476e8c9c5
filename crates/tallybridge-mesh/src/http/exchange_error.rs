//! Errors of HTTP exchanges, which record whether the server may have received the request.

use std::io;

use super::{BodyError, HeadError};

/// Failure of an exchange before its response was complete.
#[derive(Debug, thiserror::Error)]
#[error("{cause}")]
pub struct ExchangeError {
    /// Whether any part of the request was written before the failure.
    pub stage: ExchangeStage,
    /// Underlying failure, which supplies the error text.
    pub cause: ExchangeFailure,
}

/// Progress of an exchange at the time of its failure. Only [`NotSent`](Self::NotSent) guarantees that
/// the server did not run the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeStage {
    /// No byte was written, so the request did not reach the server.
    NotSent,
    /// Part of the request may have been written, so the server may have acted on it.
    Sent,
}

/// Underlying failure of an exchange.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeFailure {
    /// The connection could not be opened, or an I/O operation on it failed.
    #[error(transparent)]
    Connection(#[from] io::Error),
    /// The server closed the connection before the response was complete.
    #[error("connection closed before the response was complete")]
    Closed,
    /// The head of the response is malformed or too large.
    #[error(transparent)]
    Head(#[from] HeadError),
    /// The body of the response is malformed or too large.
    #[error(transparent)]
    Body(#[from] BodyError),
    /// The server switched to another protocol, which no request asks for.
    #[error("server switched to another protocol, which the request did not ask for")]
    SwitchedProtocols,
    /// The server sent more interim responses than a client accepts.
    #[error("too many interim responses before the final response")]
    TooManyInterimResponses,
    /// The answers that are being read leave no memory for the rest of this one.
    #[error("the answers being read leave no memory for the rest of this one")]
    OutOfMemoryBudget,
    /// The client aborted the exchange for this reason.
    #[error("{0}")]
    Aborted(&'static str),
}

impl ExchangeError {
    /// Creates the error of an exchange that failed before any byte was written.
    #[must_use]
    pub fn not_sent(cause: impl Into<ExchangeFailure>) -> Self {
        Self {
            stage: ExchangeStage::NotSent,
            cause: cause.into(),
        }
    }

    /// Creates the error of an exchange that failed after part of the request was written.
    #[must_use]
    pub fn sent(cause: impl Into<ExchangeFailure>) -> Self {
        Self {
            stage: ExchangeStage::Sent,
            cause: cause.into(),
        }
    }

    /// Creates the error of an exchange that the client aborted when part of the request may have been
    /// written.
    #[must_use]
    pub const fn aborted(reason: &'static str) -> Self {
        Self {
            stage: ExchangeStage::Sent,
            cause: ExchangeFailure::Aborted(reason),
        }
    }
}
