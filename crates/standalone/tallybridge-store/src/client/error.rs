//! Errors of requests to the store.

use std::time::Duration;

/// Error of a request to the store or to the machine list.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// No address was reachable, or a read got no valid response. A write was not applied.
    #[error("the store is unavailable: {detail}")]
    Unavailable {
        /// Cause of the last failure.
        detail: String,
    },
    /// The store rejected the request because of its rate limit. A write was not applied.
    #[error("the store rejected the request by its rate limit; retry after {retry_after:?}")]
    RateLimited {
        /// Minimum delay before the next request.
        retry_after: Duration,
    },
    /// The key does not have the expected version. The write was not applied.
    #[error("version conflict: the key is at version {version}")]
    Conflict {
        /// Current version of the key, 0 when the key is absent.
        version: u64,
    },
    /// The response to a write was lost or reported a server error. The store may have applied the
    /// write, may still apply it, or may never apply it.
    #[error("the outcome of the write is unknown: {detail}")]
    OutcomeUnknown {
        /// How the response was lost, or its status.
        detail: String,
    },
    /// The store does not know the lease, because it expired or was revoked.
    #[error("the lease has expired or was revoked")]
    LeaseLapsed,
    /// The key has an empty segment, a dot segment or a reserved URL character.
    #[error("invalid store key {key:?}")]
    InvalidKey {
        /// The rejected key.
        key: String,
    },
    /// The response does not follow the protocol of the store.
    #[error("unexpected response from the store: {detail}")]
    Protocol {
        /// Status of the response, or the parse error.
        detail: String,
    },
}

impl StoreError {
    /// Returns whether the same request may succeed when it is retried.
    #[must_use]
    pub const fn is_transient(&self) -> bool {
        matches!(
            self,
            Self::Unavailable { .. } | Self::RateLimited { .. } | Self::OutcomeUnknown { .. }
        )
    }

    /// Returns the minimum delay before the next request, zero unless the store limits the rate.
    #[must_use]
    pub const fn retry_after(&self) -> Duration {
        match self {
            Self::RateLimited { retry_after } => *retry_after,
            _ => Duration::ZERO,
        }
    }
}
