//! Errors of the configuration log.

use tallybridge_config::{Revision, Violation};

use crate::client::StoreError;

/// Error of an access to the log.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LogError {
    /// A request to the store failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The stored records are not a valid log.
    #[error("the configuration log is damaged after revision {after}: {detail}")]
    Damaged {
        /// Last revision that could be read.
        after: Revision,
        /// Defect of the next record.
        detail: String,
    },
}

/// Error of an append.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum AppendError {
    /// The deadline passed before the change was appended. It will not be appended later.
    #[error("the change was not appended before the deadline: {last}")]
    NotMade {
        /// Error of the last try.
        last: StoreError,
    },
    /// The deadline passed while the outcome of a write was unknown. Repeating the request with
    /// the same ID and base determines the outcome.
    #[error("unknown whether the change was appended as revision {revision}: {last}")]
    Unsettled {
        /// The only revision under which the change can be in the log, now or later.
        revision: Revision,
        /// Error of the last try.
        last: LogError,
    },
    /// The base is greater than the last revision of the log.
    #[error("base revision {base} is ahead of the log, which is at revision {current}")]
    BaseAhead {
        /// Base revision of the change.
        base: Revision,
        /// Last revision of the log.
        current: Revision,
    },
    /// The changed document would violate validation rules. The change was not appended.
    #[error("the change violates {} rule(s) when applied to revision {current}", violations.len())]
    Invalid {
        /// Revision to which the change was applied for the check.
        current: Revision,
        /// Violated rules.
        violations: Vec<Violation>,
    },
    /// The list of edits is empty.
    #[error("the change has no edits")]
    Empty,
    /// An access to the log failed with an error that is not transient.
    #[error(transparent)]
    Log(LogError),
}
