//! Load of a whole service, for refusals at the entry.

use tallybridge_core::Criticality;

/// Load of a service over the endpoints that take new work.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ServiceLoad {
    /// Endpoints that take new work and are not ejected.
    pub endpoints: usize,
    /// Attempts of this node in flight.
    pub in_flight: usize,
    /// Sum of the limits.
    pub limit: f64,
    /// Estimated calls in flight and queued from all nodes.
    pub estimated: f64,
    /// Calls queued by the latest reports.
    pub queued: usize,
    /// Least critical class that at least one endpoint admits; `None` when none admits any.
    pub admitted_from: Option<Criticality>,
}

impl ServiceLoad {
    /// Estimated calls in limits; above 1 the service queues.
    #[must_use]
    pub fn utilisation(&self) -> f64 {
        if self.limit > 0.0 {
            self.estimated / self.limit
        } else {
            0.0
        }
    }

    /// Whether some endpoint admits calls of that class.
    #[must_use]
    pub fn admits(&self, criticality: Criticality) -> bool {
        self.admitted_from.is_some_and(|from| criticality >= from)
    }

    /// Takes in the level of one endpoint.
    pub(crate) fn admit_from(&mut self, level: Option<Criticality>) {
        self.admitted_from = match (self.admitted_from, level) {
            (Some(known), Some(level)) => Some(known.min(level)),
            (known, level) => known.or(level),
        };
    }
}
