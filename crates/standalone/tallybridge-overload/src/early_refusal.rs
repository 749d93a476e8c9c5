//! Refusal at the entry of what a deep hop would refuse late.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::Rng;
use tallybridge_core::{Criticality, LoadReport};

use crate::threshold::PROBE_SHARE;

/// A report older than this does not count.
const FRESH: Duration = Duration::from_millis(250);

/// What an endpoint reported last.
#[derive(Debug, Clone, Copy)]
struct Row {
    admitted_from: Option<Criticality>,
    reported: Instant,
}

impl Row {
    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.reported) < FRESH
    }

    fn admits(&self, criticality: Criticality) -> bool {
        self.admitted_from.is_some_and(|from| criticality >= from)
    }
}

/// Levels that travelled back on answers, by destination `K` (a service and template, say) and
/// endpoint `E`.
///
/// A call is refused only when every endpoint with a fresh report refuses its class: as long as
/// one admits it, the call is a matter of routing. A decision is O(log destinations + endpoints of
/// the destination), and ends at the first endpoint that admits the call.
#[derive(Debug, Clone)]
pub struct EarlyRefusal<K, E> {
    rows: BTreeMap<K, BTreeMap<E, Row>>,
}

impl<K, E> Default for EarlyRefusal<K, E> {
    fn default() -> Self {
        Self {
            rows: BTreeMap::new(),
        }
    }
}

impl<K: Ord, E: Ord> EarlyRefusal<K, E> {
    /// A table without reports, which refuses nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in what an endpoint reported on an answer.
    pub fn record(&mut self, key: K, endpoint: E, report: &LoadReport, now: Instant) {
        let endpoints = self.rows.entry(key).or_default();
        if report.leaving {
            endpoints.remove(&endpoint);
            return;
        }
        let row = Row {
            admitted_from: report.admitted_from,
            reported: now,
        };
        endpoints.insert(endpoint, row);
    }

    /// Whether to refuse a call to `key` at once.
    ///
    /// A small share of the calls that would be refused is let through, so that the reports stay
    /// fresh.
    pub fn should_refuse<R: Rng + ?Sized>(
        &self,
        key: &K,
        criticality: Criticality,
        now: Instant,
        rng: &mut R,
    ) -> bool {
        let Some(endpoints) = self.rows.get(key) else {
            return false;
        };
        let mut fresh = endpoints
            .values()
            .filter(|row| row.is_fresh(now))
            .peekable();
        if fresh.peek().is_none() || fresh.any(|row| row.admits(criticality)) {
            return false;
        }
        !rng.random_bool(PROBE_SHARE)
    }

    /// Drops reports that do not count any more.
    pub fn tick(&mut self, now: Instant) {
        self.rows.retain(|_, endpoints| {
            endpoints.retain(|_, row| row.is_fresh(now));
            !endpoints.is_empty()
        });
    }
}
