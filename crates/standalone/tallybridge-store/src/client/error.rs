//! What can go wrong with a request to the store.

use std::time::Duration;

/// Why a request to the store gave no result.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// No address could be reached, or a read was not answered. A write was not done.
    #[error("the store is unavailable: {detail}")]
    Unavailable {
        /// What was tried and how it failed.
        detail: String,
    },
    /// The store is over its rate limit; nothing was done.
    #[error("the store limits requests; retry after {retry_after:?}")]
    RateLimited {
        /// Shortest wait that the store asks for.
        retry_after: Duration,
    },
    /// The key does not have the expected version; nothing was written.
    #[error("the key has version {version}, not the expected one")]
    Conflict {
        /// The key's version, 0 when it is absent.
        version: u64,
    },
    /// A write was sent and its answer was lost: it may have taken effect, may still do so, or
    /// may never.
    #[error("the outcome of the write is unknown: {detail}")]
    OutcomeUnknown {
        /// How the answer was lost.
        detail: String,
    },
    /// The lease is unknown to the store: it has lapsed or was revoked.
    #[error("the lease has lapsed")]
    LeaseLapsed,
    /// The key holds characters that the protocol doesn't carry.
    #[error("{key:?} is no valid key")]
    InvalidKey {
        /// The key.
        key: String,
    },
    /// The answer is none that the protocol knows.
    #[error("unexpected answer of the store: {detail}")]
    Protocol {
        /// Status and what was wrong.
        detail: String,
    },
}

impl StoreError {
    /// Whether the same request may succeed later without anything else changing.
    #[must_use]
    pub const fn is_transient(&self) -> bool {
        matches!(
            self,
            Self::Unavailable { .. } | Self::RateLimited { .. } | Self::OutcomeUnknown { .. }
        )
    }

    /// Shortest wait that the store asks for before the next request; zero when it asks for none.
    #[must_use]
    pub const fn retry_after(&self) -> Duration {
        match self {
            Self::RateLimited { retry_after } => *retry_after,
            _ => Duration::ZERO,
        }
    }
}
