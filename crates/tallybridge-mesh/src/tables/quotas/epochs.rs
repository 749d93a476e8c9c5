//! Counts the tokens that all owners of a tenant granted within the last window.
//!
//! An *epoch* is a time for which one node is the owner without interruption. Owners report their
//! grants by epoch to entries, and entries pass the reports on to the next owner. The total of an
//! epoch never decreases, so the report with the greater total is the newer one, and merging
//! reports in any order neither misses a grant nor counts a grant twice.
//!
//! The window is divided into parts, so that a burst leaves the count only after a whole window.

use std::{collections::HashMap, time::Duration};

use super::WINDOW_PARTS;
use crate::{
    clock::BootInstant,
    protocol::{EpochSpending, WindowSpending},
};

/// Number of parts stored for each epoch: those of a window and one more.
const STORED_PARTS: usize = WINDOW_PARTS as usize + 1;
/// Maximum number of epochs in a report. A tenant has far fewer owners within a window.
const MAX_REPORTED_EPOCHS: usize = 64;

/// Grants of all owners of one tenant, as far as one node knows.
#[derive(Debug)]
pub struct FleetSpending {
    epochs: HashMap<u32, EpochWindow>,
    part_length: Duration,
}

impl FleetSpending {
    #[must_use]
    pub fn new(window: Duration) -> Self {
        Self {
            epochs: HashMap::new(),
            part_length: (window / WINDOW_PARTS).max(Duration::from_millis(1)),
        }
    }

    /// Returns the number of tokens granted within the last window. The count may include up to one
    /// more part of the window.
    pub fn in_window(&mut self, now: BootInstant) -> u32 {
        self.advance(now);
        self.epochs.values().map(EpochWindow::sum).sum()
    }

    /// Returns the same count without the grants of one epoch.
    pub fn in_window_except(&mut self, epoch: u32, now: BootInstant) -> u32 {
        let total = self.in_window(now);
        total - self.epochs.get(&epoch).map_or(0, EpochWindow::sum)
    }

    /// Returns a report for another node with the epochs that have the newest grants.
    pub fn report(&mut self, now: BootInstant) -> WindowSpending {
        self.advance(now);
        let epochs = self.epochs.iter();
        let mut report: Vec<_> = epochs
            .map(|(epoch, window)| window.report(*epoch, now))
            .collect();
        report.sort_by_key(|epoch| {
            let newest_part = epoch.requests.iter().position(|count| *count > 0);
            (newest_part, epoch.age_ms)
        });
        report.truncate(MAX_REPORTED_EPOCHS);
        report
    }

    /// Merges the report of another node.
    pub fn merge(&mut self, report: &[EpochSpending], now: BootInstant) {
        for reported in report {
            let stored = self.epochs.get(&reported.epoch);
            if stored.is_none_or(|stored| reported.total > stored.total) {
                let window = EpochWindow::from_report(reported, now);
                self.epochs.insert(reported.epoch, window);
            }
        }
        self.advance(now);
    }

    /// Records tokens that this node granted as the owner in `epoch`.
    pub fn record_grant(&mut self, epoch: u32, tokens: u32, now: BootInstant) {
        self.advance(now);
        let window = self.epochs.entry(epoch).or_insert(EpochWindow {
            total: 0,
            tokens_by_part: [0; STORED_PARTS],
            part_started_at: now,
        });
        window.total = window.total.saturating_add(tokens);
        let tokens = u16::try_from(tokens).unwrap_or(u16::MAX);
        window.tokens_by_part[0] = window.tokens_by_part[0].saturating_add(tokens);
    }

    /// Moves the window to `now` and drops epochs without a grant in it.
    fn advance(&mut self, now: BootInstant) {
        for window in self.epochs.values_mut() {
            window.advance(self.part_length, now);
        }
        self.epochs.retain(|_, window| window.sum() > 0);
    }
}

/// Grants of one epoch.
#[derive(Debug)]
struct EpochWindow {
    /// Tokens granted since the epoch started.
    total: u32,
    /// Tokens granted in each part of the window, the newest first.
    tokens_by_part: [u16; STORED_PARTS],
    /// Start of the newest part.
    part_started_at: BootInstant,
}

impl EpochWindow {
    fn from_report(report: &EpochSpending, now: BootInstant) -> Self {
        let mut tokens_by_part = [0; STORED_PARTS];
        for (count, reported) in tokens_by_part.iter_mut().zip(&report.requests) {
            *count = *reported;
        }
        let age = Duration::from_millis(report.age_ms.into());
        Self {
            total: report.total,
            tokens_by_part,
            part_started_at: now.checked_sub(age).unwrap_or(now),
        }
    }

    /// Drops the parts that have left the window.
    fn advance(&mut self, part_length: Duration, now: BootInstant) {
        let age = now.saturating_duration_since(self.part_started_at);
        let elapsed_parts =
            u32::try_from(age.as_nanos() / part_length.as_nanos()).unwrap_or(u32::MAX);
        let shifted = (elapsed_parts as usize).min(self.tokens_by_part.len());
        self.tokens_by_part.rotate_right(shifted);
        self.tokens_by_part[..shifted].fill(0);
        self.part_started_at += part_length.saturating_mul(elapsed_parts);
    }

    fn sum(&self) -> u32 {
        self.tokens_by_part.iter().copied().map(u32::from).sum()
    }

    fn report(&self, epoch: u32, now: BootInstant) -> EpochSpending {
        let age = now
            .saturating_duration_since(self.part_started_at)
            .as_millis();
        let last_used = self.tokens_by_part.iter().rposition(|tokens| *tokens > 0);
        EpochSpending {
            epoch,
            total: self.total,
            age_ms: u16::try_from(age).unwrap_or(u16::MAX),
            requests: self.tokens_by_part[..last_used.map_or(0, |index| index + 1)].to_vec(),
        }
    }
}
