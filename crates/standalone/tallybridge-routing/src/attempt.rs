//! How an attempt at an endpoint ended, and why none could be made.

use std::time::Duration;

use tallybridge_core::LoadReport;

/// How an attempt at an endpoint ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// The endpoint ran the call and its whole answer arrived.
    Answered {
        /// From the choice of the endpoint to the end of the answer.
        latency: Duration,
        /// The load that came with the answer.
        load: LoadReport,
    },
    /// The endpoint refused before doing any work.
    RefusedNotRun {
        /// The load that came with the refusal, if any did.
        load: Option<LoadReport>,
    },
    /// The attempt was lost, timed out, or ended in a server error.
    Failed,
    /// The caller gave up.
    Cancelled,
}

/// Why no endpoint was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum NoEndpoint {
    /// No endpoint of that service is known.
    #[error("no endpoint of the service is known")]
    UnknownService,
    /// Every endpoint that takes new work was excluded by the caller.
    #[error("every endpoint of the service was tried already")]
    AllExcluded,
    /// Every endpoint of the service is leaving.
    #[error("every endpoint of the service is leaving")]
    AllLeaving,
}
