//! How many tokens of a tenant its owners granted, by epochs of owners and parts of the window.
//!
//! An owner reports this with each grant, and entries pass it on to the next owner. An *epoch* is a
//! time for which one node is the owner without a break. What was granted in one epoch only grows,
//! so of two reports of it the one with the greater total is the newer: no grant counts twice or is
//! missed, whichever way the reports came. The window is counted in parts since a burst must leave
//! it when it is over, not before. Other ways and their counts: `docs/design/quotas.md`.

use std::{collections::HashMap, time::Duration};

use super::WINDOW_PARTS;
use crate::{
    clock::BootInstant,
    protocol::{EpochSpending, WindowSpending},
};

/// Parts that are kept of an epoch: those of a window, and the one before them.
const KEPT_PARTS: usize = WINDOW_PARTS as usize + 1;
/// Most epochs in a report, the newest first: far more than owners that a tenant has within a window.
/// Origin of the figure not recorded.
const MAX_EPOCHS: usize = 64;

/// What one node knows of the grants by all owners of a tenant.
#[derive(Debug)]
pub struct FleetSpending {
    epochs: HashMap<u32, EpochWindow>,
    part: Duration,
}

impl FleetSpending {
    /// Nothing is known yet of what was granted within `window`.
    #[must_use]
    pub fn new(window: Duration) -> Self {
        Self {
            epochs: HashMap::new(),
            part: (window / WINDOW_PARTS).max(Duration::from_millis(1)),
        }
    }

    /// Tokens that were granted within the last window, and up to one part of it before that.
    pub fn within(&mut self, now: BootInstant) -> u32 {
        self.advance(now);
        self.epochs.values().map(EpochWindow::sum).sum()
    }

    /// The same without those of one epoch.
    pub fn within_except(&mut self, epoch: u32, now: BootInstant) -> u32 {
        let all = self.within(now);
        all - self.epochs.get(&epoch).map_or(0, EpochWindow::sum)
    }

    /// What this node knows, for another one: the epochs with the newest grants.
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
        report.truncate(MAX_EPOCHS);
        report
    }

    /// Takes in what another node knows.
    pub fn merge(&mut self, report: &[EpochSpending], now: BootInstant) {
        for reported in report {
            let known = self.epochs.get(&reported.epoch);
            if known.is_none_or(|known| reported.total > known.total) {
                let window = EpochWindow::reported(reported, now);
                self.epochs.insert(reported.epoch, window);
            }
        }
        self.advance(now);
    }

    /// This node granted tokens in an epoch of its own.
    pub fn add(&mut self, epoch: u32, tokens: u32, now: BootInstant) {
        self.advance(now);
        let window = self.epochs.entry(epoch).or_insert(EpochWindow {
            total: 0,
            requests: [0; KEPT_PARTS],
            began: now,
        });
        window.total = window.total.saturating_add(tokens);
        let tokens = u16::try_from(tokens).unwrap_or(u16::MAX);
        window.requests[0] = window.requests[0].saturating_add(tokens);
    }

    fn advance(&mut self, now: BootInstant) {
        for window in self.epochs.values_mut() {
            window.advance(self.part, now);
        }
        self.epochs.retain(|_, window| window.sum() > 0);
    }
}

/// What was granted in one epoch.
#[derive(Debug)]
struct EpochWindow {
    /// All that was granted since the epoch began.
    total: u32,
    /// By part of the window, the newest first.
    requests: [u16; KEPT_PARTS],
    /// When the newest part began.
    began: BootInstant,
}

impl EpochWindow {
    /// What another node reported of an epoch.
    fn reported(report: &EpochSpending, now: BootInstant) -> Self {
        let mut requests = [0; KEPT_PARTS];
        for (count, reported) in requests.iter_mut().zip(&report.requests) {
            *count = *reported;
        }
        let age = Duration::from_millis(report.age_ms.into());
        Self {
            total: report.total,
            requests,
            began: now.checked_sub(age).unwrap_or(now),
        }
    }

    /// Lets parts leave the window.
    fn advance(&mut self, part: Duration, now: BootInstant) {
        let age = now.saturating_duration_since(self.began);
        let passed = u32::try_from(age.as_nanos() / part.as_nanos()).unwrap_or(u32::MAX);
        let shifted = (passed as usize).min(self.requests.len());
        self.requests.rotate_right(shifted);
        self.requests[..shifted].fill(0);
        self.began += part.saturating_mul(passed);
    }

    fn sum(&self) -> u32 {
        self.requests.iter().copied().map(u32::from).sum()
    }

    fn report(&self, epoch: u32, now: BootInstant) -> EpochSpending {
        let age = now.saturating_duration_since(self.began).as_millis();
        let used = self.requests.iter().rposition(|requests| *requests > 0);
        EpochSpending {
            epoch,
            total: self.total,
            age_ms: u16::try_from(age).unwrap_or(u16::MAX),
            requests: self.requests[..used.map_or(0, |last| last + 1)].to_vec(),
        }
    }
}
