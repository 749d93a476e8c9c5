//! A trial of another share of the slots.

use std::time::{Duration, Instant};

use super::{WINDOW, means::KindMeans};

/// Time after which a trial ends without a result: load is too low to compare. Origin of the figure not
/// recorded.
const TIME_LIMIT: Duration = Duration::from_millis(1500);

/// What a share is tried for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Purpose {
    /// To learn how long calls take at lower load.
    Check,
    /// To find a better share among [`super::SCANNED`], this one by its place.
    Scan { place: usize },
    /// To use more again.
    Raise,
}

/// A share that is being tried.
#[derive(Debug, Clone)]
pub(super) struct Trial {
    pub(super) purpose: Purpose,
    /// Times of calls that began during the trial.
    pub(super) times: KindMeans,
    began: Instant,
    /// Calls under way that began before the trial.
    settling: u32,
}

impl Trial {
    /// A trial that begins while so many calls run.
    pub(super) fn new(purpose: Purpose, in_flight: u32, now: Instant) -> Self {
        Self {
            purpose,
            times: KindMeans::default(),
            began: now,
            settling: in_flight,
        }
    }

    /// Counts a call that ended, unless it began before the trial: as many as ran then are left out.
    pub(super) fn record(&mut self, kind: u16, seconds: f64) {
        if self.settling > 0 {
            self.settling -= 1;
        } else {
            self.times.add(kind, seconds);
        }
    }

    /// Whether enough calls were counted to compare them.
    pub(super) const fn is_complete(&self) -> bool {
        self.times.count() >= WINDOW
    }

    /// Whether it has lasted for as long as one may.
    pub(super) fn is_stale(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.began) >= TIME_LIMIT
    }
}

/// A share and its throughput, as a multiple of that of the share in use before.
#[derive(Debug, Clone, Copy)]
pub(super) struct Gain {
    pub(super) share: f64,
    pub(super) throughput: f64,
}

impl Gain {
    /// The greater of two, the left one if they are equal.
    pub(super) fn better(left: Option<Self>, right: Option<Self>) -> Option<Self> {
        match (left, right) {
            (Some(left), Some(right)) if right.throughput > left.throughput => Some(right),
            (None, right) => right,
            (left, _) => left,
        }
    }
}
