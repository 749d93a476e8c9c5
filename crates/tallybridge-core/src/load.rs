//! Load report that an executor attaches to every answer.

use crate::Criticality;

/// Load of one back end as observed by the node beside it.
///
/// Answers carry the report, so a router learns the load without extra messages (Breakwater, OSDI
/// 2020; DAGOR, SoCC 2018).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LoadReport {
    /// Number of calls that the back end is running.
    pub in_flight: u16,
    /// Adaptive limit on the calls that the back end runs concurrently.
    pub limit: u16,
    /// Number of calls that wait in the admission queue.
    pub queued: u16,
    /// Least critical class that is admitted, including the effect of nested calls. `None` if even the
    /// most critical class is refused.
    pub admitted_from: Option<Criticality>,
    /// Whether the back end is leaving and accepts no new calls.
    pub leaving: bool,
}
