//! Refusal of calls at their entry when their executors would refuse them.
//!
//! An early refusal saves the work of the calls between the entry and the executor.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::Rng;
use tallybridge_core::{Criticality, LoadReport};

use crate::threshold::PROBE_SHARE;

const REPORT_MAX_AGE: Duration = Duration::from_millis(250);

#[derive(Debug, Clone, Copy)]
struct EndpointReport {
    admitted_from: Option<Criticality>,
    reported_at: Instant,
}

impl EndpointReport {
    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.reported_at) < REPORT_MAX_AGE
    }

    fn admits(&self, criticality: Criticality) -> bool {
        self.admitted_from
            .is_some_and(|lowest| criticality >= lowest)
    }
}

/// Admission levels that endpoints report with their answers.
///
/// Reports are keyed by destination `K`, for example a service and a template, and by endpoint `E`.
/// A call is refused only when every endpoint with a recent report refuses its criticality class;
/// otherwise routing can choose an endpoint that admits the call. A decision takes O(log
/// destinations + endpoints of the destination) and stops at the first endpoint that admits the
/// call.
#[derive(Debug, Clone)]
pub struct EarlyRefusal<K, E> {
    reports: BTreeMap<K, BTreeMap<E, EndpointReport>>,
}

impl<K, E> Default for EarlyRefusal<K, E> {
    fn default() -> Self {
        Self {
            reports: BTreeMap::new(),
        }
    }
}

impl<K: Ord, E: Ord> EarlyRefusal<K, E> {
    /// Creates an empty table, which refuses nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the load report that came with an answer of `endpoint`.
    ///
    /// A report of a leaving endpoint removes the endpoint.
    pub fn record(&mut self, destination: K, endpoint: E, report: &LoadReport, now: Instant) {
        let endpoints = self.reports.entry(destination).or_default();
        if report.leaving {
            endpoints.remove(&endpoint);
            return;
        }
        let latest = EndpointReport {
            admitted_from: report.admitted_from,
            reported_at: now,
        };
        endpoints.insert(endpoint, latest);
    }

    /// Returns whether to refuse a call to `destination` without dispatching it.
    ///
    /// A small random share of the refusable calls passes, so that their answers refresh the reports.
    pub fn should_refuse<R: Rng + ?Sized>(
        &self,
        destination: &K,
        criticality: Criticality,
        now: Instant,
        rng: &mut R,
    ) -> bool {
        let Some(endpoints) = self.reports.get(destination) else {
            return false;
        };
        let mut fresh_reports = endpoints
            .values()
            .filter(|report| report.is_fresh(now))
            .peekable();
        if fresh_reports.peek().is_none() || fresh_reports.any(|report| report.admits(criticality))
        {
            return false;
        }
        !rng.random_bool(PROBE_SHARE)
    }

    /// Removes expired reports.
    pub fn tick(&mut self, now: Instant) {
        self.reports.retain(|_, endpoints| {
            endpoints.retain(|_, report| report.is_fresh(now));
            !endpoints.is_empty()
        });
    }
}
