//! Results of an attempt at an endpoint, and the reasons for which no endpoint is chosen.

use std::time::Duration;

use tallybridge_core::LoadReport;

/// Result of an attempt at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// The endpoint ran the call and its whole answer arrived.
    Answered {
        /// Time from the choice of the endpoint to the end of the answer.
        latency: Duration,
        /// Load report that came with the answer.
        load: LoadReport,
    },
    /// The endpoint refused the call before running any of it.
    RefusedNotRun {
        /// Load report that came with the refusal, if it had one.
        load: Option<LoadReport>,
    },
    /// The attempt was lost, timed out, or ended in a server error.
    Failed,
    /// The caller cancelled the attempt before it ended.
    Cancelled,
}

/// Reason for which no endpoint is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum NoEndpoint {
    /// The table has no endpoint of the service.
    #[error("no endpoint of the service is known")]
    UnknownService,
    /// The caller excluded every endpoint that takes new work.
    #[error("every available endpoint of the service has already been tried")]
    AllExcluded,
    /// Every endpoint of the service is leaving.
    #[error("every endpoint of the service is leaving")]
    AllLeaving,
}
