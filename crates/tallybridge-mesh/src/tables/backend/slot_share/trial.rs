//! Trial of a share of the slots other than the baseline.

use std::time::{Duration, Instant};

use super::{CALLS_PER_WINDOW, means::MeanTimesByKind};

/// Duration after which a trial ends without a result because the load is too low for a comparison.
const MAX_TRIAL_DURATION: Duration = Duration::from_millis(1500);

/// Why a share is tried.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Purpose {
    /// Measures how long calls take at low load.
    CheckLowLoad,
    /// Looks for a better share; `index` is the position in [`super::SCANNED_SHARES`].
    Scan { index: usize },
    /// Finds out whether a higher share is better than the baseline.
    Raise,
}

#[derive(Debug, Clone)]
pub(super) struct Trial {
    pub(super) purpose: Purpose,
    /// Times of the calls that started during the trial.
    pub(super) times: MeanTimesByKind,
    started_at: Instant,
    /// Number of calls in flight that started before the trial.
    earlier_calls: u32,
}

impl Trial {
    pub(super) fn new(purpose: Purpose, in_flight: u32, now: Instant) -> Self {
        Self {
            purpose,
            times: MeanTimesByKind::default(),
            started_at: now,
            earlier_calls: in_flight,
        }
    }

    /// Records a call that ended. Skips as many calls as were in flight when the trial started, because
    /// they ran at the previous share.
    pub(super) fn record(&mut self, kind: u16, seconds: f64) {
        if self.earlier_calls > 0 {
            self.earlier_calls -= 1;
        } else {
            self.times.record(kind, seconds);
        }
    }

    /// Returns whether enough calls were recorded for a comparison.
    pub(super) const fn is_complete(&self) -> bool {
        self.times.count() >= CALLS_PER_WINDOW
    }

    pub(super) fn is_expired(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started_at) >= MAX_TRIAL_DURATION
    }
}

/// A tried share and its throughput relative to that of the baseline.
#[derive(Debug, Clone, Copy)]
pub(super) struct TrialResult {
    pub(super) share: f64,
    pub(super) throughput: f64,
}

impl TrialResult {
    /// Returns the result with the higher throughput, or `first` if the throughputs are equal.
    pub(super) fn best_of(first: Option<Self>, second: Option<Self>) -> Option<Self> {
        match (first, second) {
            (Some(first), Some(second)) if second.throughput > first.throughput => Some(second),
            (None, second) => second,
            (first, _) => first,
        }
    }
}
