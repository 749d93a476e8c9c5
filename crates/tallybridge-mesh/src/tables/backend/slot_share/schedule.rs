//! Times at which the next trials of other shares may start.

use std::time::{Duration, Instant};

/// Interval between two scans of lower shares after a scan that found a better share.
const MIN_SCAN_INTERVAL: Duration = Duration::from_secs(12);
/// Upper bound of the interval, which doubles with each scan that finds no better share.
const MAX_SCAN_INTERVAL: Duration = Duration::from_secs(60);
/// Delay before a higher share is tried, after a scan or after a higher share that was not better.
const RAISE_DELAY: Duration = Duration::from_secs(4);

#[derive(Debug, Clone)]
pub(super) struct TrialSchedule {
    /// Earliest time of the next scan; `None` before the first one.
    scan_at: Option<Instant>,
    scan_interval: Duration,
    /// Earliest time of the next trial of a higher share; `None` if there is no higher share to try.
    raise_at: Option<Instant>,
}

impl Default for TrialSchedule {
    fn default() -> Self {
        Self {
            scan_at: None,
            scan_interval: MIN_SCAN_INTERVAL,
            raise_at: None,
        }
    }
}

impl TrialSchedule {
    /// Returns whether a scan of lower shares, or a check of the times at low load, may start.
    pub(super) fn may_scan(&self, now: Instant) -> bool {
        self.scan_at.is_none_or(|scan_at| now >= scan_at)
    }

    pub(super) fn may_raise(&self, now: Instant) -> bool {
        self.raise_at.is_some_and(|raise_at| now >= raise_at)
    }

    /// Records the end of a scan. `can_raise` is whether a share above the baseline remains to be tried.
    pub(super) fn record_scan(&mut self, found_better: bool, can_raise: bool, now: Instant) {
        self.scan_interval = if found_better {
            MIN_SCAN_INTERVAL
        } else {
            (self.scan_interval * 2).min(MAX_SCAN_INTERVAL)
        };
        self.scan_at = Some(now + self.scan_interval);
        self.raise_at = can_raise.then(|| now + RAISE_DELAY);
    }

    /// Records the trial of a higher share. `can_raise` is whether a share above the baseline remains to
    /// be tried.
    pub(super) fn record_raise(&mut self, was_better: bool, can_raise: bool, now: Instant) {
        let delay = if was_better {
            Duration::ZERO
        } else {
            RAISE_DELAY
        };
        self.raise_at = can_raise.then(|| now + delay);
    }
}
