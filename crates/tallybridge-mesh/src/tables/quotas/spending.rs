//! Counts the requests of a tenant that entries admitted within the last window.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use super::WINDOW_PARTS;
use crate::clock::BootInstant;
use crate::protocol::QuotaRequest;

/// Minimum number of requests that an entry of a tenant at its limit sends to the owner in each
/// window.
const REPORTS_PER_WINDOW: u32 = 10;

/// Requests that one entry admitted, by parts of the window.
#[derive(Debug, Default)]
pub struct EntrySpending(VecDeque<Part>);

#[derive(Debug)]
struct Part {
    started_at: BootInstant,
    requests: u32,
}

impl EntrySpending {
    /// Records an admitted request.
    pub fn record(&mut self, window: Duration, now: BootInstant) {
        self.drop_expired(window, now);
        match self.0.back_mut() {
            Some(part)
                if now.saturating_duration_since(part.started_at) < window / WINDOW_PARTS =>
            {
                part.requests += 1;
            }
            _ => self.0.push_back(Part {
                started_at: now,
                requests: 1,
            }),
        }
    }

    /// Returns the number of requests admitted within the last window. The count may include up to
    /// one more part of the window.
    pub fn in_window(&mut self, window: Duration, now: BootInstant) -> u32 {
        self.drop_expired(window, now);
        self.0.iter().map(|part| part.requests).sum()
    }

    fn drop_expired(&mut self, window: Duration, now: BootInstant) {
        let retention = window + window / WINDOW_PARTS;
        while let Some(first) = self.0.front() {
            if now.saturating_duration_since(first.started_at) < retention {
                return;
            }
            self.0.pop_front();
        }
    }
}

/// Newest report of each entry, by the process number of the entry.
#[derive(Debug, Default)]
pub struct ReportedSpending(HashMap<u64, EntryReport>);

#[derive(Debug)]
struct EntryReport {
    requests: f64,
    received_at: BootInstant,
}

impl EntryReport {
    /// Returns the number of reported requests still in the window. A report counts in full until
    /// the next one is due; after that, its requests expire evenly.
    fn in_window(&self, window: Duration, now: BootInstant) -> f64 {
        let age = now.saturating_duration_since(self.received_at);
        let age = age.saturating_sub(window / REPORTS_PER_WINDOW);
        let expired_fraction = age.as_secs_f64() / window.as_secs_f64().max(f64::MIN_POSITIVE);
        self.requests * (1.0 - expired_fraction).max(0.0)
    }
}

impl ReportedSpending {
    /// Records the report of an entry and returns the number of requests that all entries admitted
    /// within the last window.
    pub fn record_report(
        &mut self,
        request: &QuotaRequest,
        window: Duration,
        now: BootInstant,
    ) -> f64 {
        let report = EntryReport {
            requests: request.admitted.into(),
            received_at: now,
        };
        self.0.insert(request.entry, report);
        self.0
            .retain(|_, report| now.saturating_duration_since(report.received_at) < window);
        self.0
            .values()
            .map(|report| report.in_window(window, now))
            .sum()
    }

    /// Counts granted tokens as requests of an entry, because the entry will admit requests with
    /// them.
    pub fn add_grant(&mut self, entry: u64, tokens: u32) {
        if let Some(report) = self.0.get_mut(&entry) {
            report.requests += f64::from(tokens);
        }
    }
}
