//! When another share may be tried again.

use std::time::{Duration, Instant};

/// Least time between two scans of lower shares, after one that found a better share. Origin of the
/// figure not recorded.
const SCAN_PAUSE: Duration = Duration::from_secs(12);
/// Longest such time: it doubles with each scan that found none. Origin of the figure not recorded.
const SCAN_PAUSE_MAX: Duration = Duration::from_secs(60);
/// Time until a higher share is tried, after a scan or after a higher one that was not better. Origin
/// of the figure not recorded.
const RAISE_PAUSE: Duration = Duration::from_secs(4);

/// When lower shares may be scanned and when a higher one may be tried.
#[derive(Debug, Clone)]
pub(super) struct Schedule {
    scan_at: Option<Instant>,
    scan_pause: Duration,
    raise_at: Option<Instant>,
}

impl Default for Schedule {
    fn default() -> Self {
        Self {
            scan_at: None,
            scan_pause: SCAN_PAUSE,
            raise_at: None,
        }
    }
}

impl Schedule {
    /// Whether lower shares may be scanned, or low load checked.
    pub(super) fn may_scan(&self, now: Instant) -> bool {
        self.scan_at.is_none_or(|at| now >= at)
    }

    /// Whether a higher share may be tried.
    pub(super) fn may_raise(&self, now: Instant) -> bool {
        self.raise_at.is_some_and(|at| now >= at)
    }

    /// A scan ended; `can_raise` tells whether a higher share is left to try.
    pub(super) fn scanned(&mut self, found_better: bool, can_raise: bool, now: Instant) {
        self.scan_pause = if found_better {
            SCAN_PAUSE
        } else {
            (self.scan_pause * 2).min(SCAN_PAUSE_MAX)
        };
        self.scan_at = Some(now + self.scan_pause);
        self.raise_at = can_raise.then(|| now + RAISE_PAUSE);
    }

    /// A higher share was tried; `can_raise` tells whether a still higher one is left to try.
    pub(super) fn raised(&mut self, was_better: bool, can_raise: bool, now: Instant) {
        let pause = if was_better {
            Duration::ZERO
        } else {
            RAISE_PAUSE
        };
        self.raise_at = can_raise.then(|| now + pause);
    }
}
