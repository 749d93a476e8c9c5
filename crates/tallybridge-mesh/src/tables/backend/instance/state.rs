//! State of the back end, and the effects of a report on it.

use tokio::time::Instant;

use crate::tables::backend::incarnation::Incarnation;

/// Whether the back end accepts work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceState {
    /// No health check has verified the back end yet, so it gets no work.
    Unknown,
    /// The back end accepts work.
    Ready,
    /// The back end announced that it leaves, so it gets no work.
    Leaving,
    /// The node could not connect to the back end.
    Unreachable {
        /// Time from which the back end gets work again, to find out whether it can be reached.
        retry_at: Instant,
    },
}

/// What the node must do after a report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReportEffect {
    /// The report changed nothing that other nodes need.
    Nothing,
    /// The node must run a health check before the back end gets work.
    Verify,
    /// The node must publish the new state or number of slots.
    Changed,
    /// The back end restarted under its id, which ended the contained incarnation.
    Restarted(EndedIncarnation),
}

/// What the answer to a health check changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthCheckEffect {
    /// The answer confirmed the known state.
    Nothing,
    /// The id or the state of the back end changed.
    Changed,
    /// The id is new and has not reported as a member of the node's service, so it may belong to another
    /// service. It gets no work until it reports.
    Unreported,
}

/// An incarnation that ended because the back end restarted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedIncarnation {
    /// Identity of the ended incarnation.
    pub incarnation: Incarnation,
    /// Whether the incarnation had announced that it leaves. If not, the restart counts as a crash.
    pub was_leaving: bool,
}
