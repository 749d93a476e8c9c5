//! How many requests of a tenant entries admitted within the last window.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use super::WINDOW_PARTS;
use crate::clock::BootInstant;
use crate::protocol::QuotaRequest;

/// An entry at which a tenant is at its limit asks again within a window divided by this. Origin not
/// recorded.
const ASKS_WITHIN: u32 = 10;

/// What one entry admitted, by parts of the window.
#[derive(Debug, Default)]
pub struct EntrySpending(VecDeque<Part>);

#[derive(Debug)]
struct Part {
    began: BootInstant,
    requests: u32,
}

impl EntrySpending {
    /// A request was admitted.
    pub fn note(&mut self, window: Duration, now: BootInstant) {
        self.forget(window, now);
        match self.0.back_mut() {
            Some(part) if now.saturating_duration_since(part.began) < window / WINDOW_PARTS => {
                part.requests += 1;
            }
            _ => self.0.push_back(Part {
                began: now,
                requests: 1,
            }),
        }
    }

    /// Requests that were admitted within the last window, and up to one part of it before that.
    pub fn within(&mut self, window: Duration, now: BootInstant) -> u32 {
        self.forget(window, now);
        self.0.iter().map(|part| part.requests).sum()
    }

    fn forget(&mut self, window: Duration, now: BootInstant) {
        let kept = window + window / WINDOW_PARTS;
        while let Some(first) = self.0.front() {
            if now.saturating_duration_since(first.began) < kept {
                return;
            }
            self.0.pop_front();
        }
    }
}

/// What all entries admitted, as they reported it to an owner, by the process of the entry.
#[derive(Debug, Default)]
pub struct ReportedSpending(HashMap<u64, EntryReport>);

#[derive(Debug)]
struct EntryReport {
    requests: f64,
    at: BootInstant,
}

impl EntryReport {
    /// Requests of the report that the window still holds. A report counts in full until its entry is due
    /// to send the next one; from then on its requests leave the window evenly.
    fn within(&self, window: Duration, now: BootInstant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        let age = age.saturating_sub(window / ASKS_WITHIN);
        let left = age.as_secs_f64() / window.as_secs_f64().max(f64::MIN_POSITIVE);
        self.requests * (1.0 - left).max(0.0)
    }
}

impl ReportedSpending {
    /// Takes the report of an entry; gives what all admitted within the last window.
    pub fn report(&mut self, ask: &QuotaRequest, window: Duration, now: BootInstant) -> f64 {
        let report = EntryReport {
            requests: ask.admitted.into(),
            at: now,
        };
        self.0.insert(ask.entry, report);
        self.0
            .retain(|_, report| now.saturating_duration_since(report.at) < window);
        self.0
            .values()
            .map(|report| report.within(window, now))
            .sum()
    }

    /// An entry was granted tokens, with which it will admit requests.
    pub fn granted(&mut self, entry: u64, tokens: u32) {
        if let Some(report) = self.0.get_mut(&entry) {
            report.requests += f64::from(tokens);
        }
    }
}
