//! Load of one endpoint from its latest report and the attempts in flight from here.

use std::time::{Duration, Instant};

use tallybridge_core::{Criticality, LoadReport};

/// Limit of an endpoint that has not reported one.
pub const DEFAULT_LIMIT: f64 = 10.0;

/// The latest report with what was known when it came.
#[derive(Debug, Clone, Copy)]
pub struct ReportedLoad {
    report: LoadReport,
    /// Calls of other routers at the time of the report.
    others: f64,
    received: Instant,
}

impl ReportedLoad {
    /// Takes in a report that came while `own` attempts of this node were in flight there.
    #[must_use]
    pub fn new(report: LoadReport, own: usize, now: Instant) -> Self {
        let total = f64::from(report.in_flight) + f64::from(report.queued);
        Self {
            report,
            others: (total - own as f64).max(0.0),
            received: now,
        }
    }

    /// The reported limit, if the endpoint knows one.
    #[must_use]
    pub fn limit(&self) -> Option<f64> {
        (self.report.limit > 0).then(|| f64::from(self.report.limit))
    }

    /// Calls waiting there at the time of the report.
    #[must_use]
    pub fn queued(&self) -> u16 {
        self.report.queued
    }

    /// Other routers' calls in limits at the time of the report.
    #[must_use]
    pub fn others_utilisation(&self) -> f64 {
        self.others / self.limit().unwrap_or(DEFAULT_LIMIT)
    }

    /// Other routers' calls in limits now: an old report counts less and less against what is
    /// usual for the service.
    #[must_use]
    pub fn others_now(&self, usual: f64, half_life: Duration, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.received);
        let rest = (-(age.as_secs_f64() / half_life.as_secs_f64())).exp2();
        usual + (self.others_utilisation() - usual) * rest
    }

    /// The least critical class admitted there; an old report no longer refuses any.
    #[must_use]
    pub fn admitted_from(&self, lifetime: Duration, now: Instant) -> Option<Criticality> {
        if now.saturating_duration_since(self.received) > lifetime {
            return Some(Criticality::ALL[0]);
        }
        self.report.admitted_from
    }
}
