//! Why a request got no complete answer, and whether the server may have taken it.

use std::io;

use super::{BodyError, HeadError};

/// An exchange that gave no complete answer.
#[derive(Debug, thiserror::Error)]
#[error("{cause}")]
pub struct ExchangeError {
    /// How far it came.
    pub stage: ExchangeStage,
    /// What went wrong.
    pub cause: ExchangeFailure,
}

/// How far an exchange came before it failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeStage {
    /// Nothing was written: the request did not reach the server.
    NotSent,
    /// Something was written: the server may have acted on the request.
    Sent,
}

/// What went wrong with an exchange.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeFailure {
    /// The connection could not be opened, or failed.
    #[error(transparent)]
    Connection(#[from] io::Error),
    /// The other side closed the connection before the answer was complete.
    #[error("connection closed before the end of the answer")]
    Closed,
    /// The head of the answer can't be read.
    #[error(transparent)]
    Head(#[from] HeadError),
    /// The body of the answer can't be read.
    #[error(transparent)]
    Body(#[from] BodyError),
    /// This side gave the exchange up, and why.
    #[error("{0}")]
    GivenUp(&'static str),
}

impl ExchangeError {
    /// A failure before anything was written.
    #[must_use]
    pub fn not_sent(cause: impl Into<ExchangeFailure>) -> Self {
        Self {
            stage: ExchangeStage::NotSent,
            cause: cause.into(),
        }
    }

    /// A failure after something was written.
    #[must_use]
    pub fn sent(cause: impl Into<ExchangeFailure>) -> Self {
        Self {
            stage: ExchangeStage::Sent,
            cause: cause.into(),
        }
    }

    /// An exchange that this side gave up after something was, or may have been, written.
    #[must_use]
    pub const fn given_up(reason: &'static str) -> Self {
        Self {
            stage: ExchangeStage::Sent,
            cause: ExchangeFailure::GivenUp(reason),
        }
    }
}
