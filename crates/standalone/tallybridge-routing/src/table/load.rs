//! Load of a whole service, by which an entry decides on refusals.

use tallybridge_core::Criticality;

/// Total load of the endpoints of a service that take new work and are not ejected.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ServiceLoad {
    /// Number of endpoints that take new work and are not ejected.
    pub endpoints: usize,
    /// Number of this node's attempts in flight.
    pub in_flight: usize,
    /// Sum of the endpoints' limits, in calls.
    pub limit: f64,
    /// Estimated calls running and queued, from all nodes.
    pub estimated: f64,
    /// Number of queued calls according to the latest reports.
    pub queued: usize,
    /// Least critical class that at least one endpoint admits, or `None` when none admits any.
    pub admitted_from: Option<Criticality>,
}

impl ServiceLoad {
    /// Returns the estimated calls divided by the limit. Calls queue above 1.
    #[must_use]
    pub fn utilisation(&self) -> f64 {
        if self.limit > 0.0 {
            self.estimated / self.limit
        } else {
            0.0
        }
    }

    /// Returns whether at least one endpoint admits calls of the class.
    #[must_use]
    pub fn admits(&self, criticality: Criticality) -> bool {
        self.admitted_from.is_some_and(|level| criticality >= level)
    }

    /// Lowers the admitted class to the admission level of an endpoint if that level is lower.
    pub(crate) fn include_level(&mut self, level: Option<Criticality>) {
        self.admitted_from = match (self.admitted_from, level) {
            (Some(current), Some(level)) => Some(current.min(level)),
            (current, level) => current.or(level),
        };
    }
}
