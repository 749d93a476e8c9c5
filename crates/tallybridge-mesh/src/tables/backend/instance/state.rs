//! State of the back end, and what a report changes.

use tokio::time::Instant;

use crate::tables::backend::incarnation::Incarnation;

/// Whether the back end takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceState {
    /// Not known yet: it is verified before it gets work.
    Unknown,
    /// It takes work.
    Ready,
    /// It said that it leaves: it gets no work.
    Leaving,
    /// It could not be reached.
    Unreachable {
        /// When it is tried again.
        retry_at: Instant,
    },
}

/// What a report changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReportEffect {
    /// Nothing that others must know.
    Nothing,
    /// The back end must be asked who it is before it gets work.
    Verify,
    /// The back end's state or slots changed.
    Changed,
    /// The back end has started again under its id: the start before it is over.
    Restarted(EndedStart),
}

/// A start of the back end that is over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedStart {
    /// The start.
    pub incarnation: Incarnation,
    /// Whether it had said that it leaves.
    pub had_left: bool,
}
