//! What an executing node reports of its load on every answer.

use crate::Criticality;

/// Load of one back end as seen by the node beside it.
///
/// Piggybacked on answers, so a router learns it without asking (Breakwater, OSDI 2020; DAGOR,
/// SoCC 2018).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LoadReport {
    /// Calls that the back end runs now.
    pub in_flight: u16,
    /// Calls that it may run at once, by the adaptive limit.
    pub limit: u16,
    /// Calls waiting in the admission queue.
    pub queued: u16,
    /// The least critical class that is still admitted, with nested calls taken into account;
    /// `None` when even the most critical are being refused.
    pub admitted_from: Option<Criticality>,
    /// The back end takes no new work.
    pub leaving: bool,
}
