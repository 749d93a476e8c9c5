//! Load of one endpoint according to its latest report.
//!
//! The report counts the calls of all nodes. This node's own attempts at that time are subtracted,
//! because the table counts its own attempts exactly.

use std::time::{Duration, Instant};

use tallybridge_core::{Criticality, LoadReport};

/// Limit assumed until an endpoint reports one.
pub const DEFAULT_LIMIT: f64 = 10.0;

/// The latest load report of an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct ReportedLoad {
    report: LoadReport,
    /// Calls of other nodes, running and queued, at the time of the report.
    other_calls: f64,
    received: Instant,
}

impl ReportedLoad {
    /// Creates the load from a report that arrived while this node had `own_in_flight` attempts in
    /// flight at the endpoint.
    #[must_use]
    pub fn new(report: LoadReport, own_in_flight: usize, now: Instant) -> Self {
        let total = f64::from(report.in_flight) + f64::from(report.queued);
        Self {
            report,
            other_calls: (total - own_in_flight as f64).max(0.0),
            received: now,
        }
    }

    /// Returns the reported limit, or `None` if the endpoint reports none.
    #[must_use]
    pub fn limit(&self) -> Option<f64> {
        (self.report.limit > 0).then(|| f64::from(self.report.limit))
    }

    /// Returns the number of calls that were queued at the endpoint at the time of the report.
    #[must_use]
    pub fn queued(&self) -> u16 {
        self.report.queued
    }

    /// Returns the calls of other nodes at the time of the report, divided by the limit.
    #[must_use]
    pub fn others_utilisation(&self) -> f64 {
        self.other_calls / self.limit().unwrap_or(DEFAULT_LIMIT)
    }

    /// Returns the estimated utilisation by other nodes at `now`. It decays from the reported value
    /// to `typical`, because an old report says little about the current load.
    #[must_use]
    pub fn decayed_others_utilisation(
        &self,
        typical: f64,
        half_life: Duration,
        now: Instant,
    ) -> f64 {
        let age = now.saturating_duration_since(self.received);
        let remaining = (-(age.as_secs_f64() / half_life.as_secs_f64())).exp2();
        typical + (self.others_utilisation() - typical) * remaining
    }

    /// Returns the least critical class that the endpoint admits, or `None` if it admits none. Once
    /// the report is older than `lifetime`, every class counts as admitted.
    #[must_use]
    pub fn admitted_from(&self, lifetime: Duration, now: Instant) -> Option<Criticality> {
        if now.saturating_duration_since(self.received) > lifetime {
            return Some(Criticality::ALL[0]);
        }
        self.report.admitted_from
    }
}
