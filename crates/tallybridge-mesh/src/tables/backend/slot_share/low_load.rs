//! How long calls take at low load.

use std::time::{Duration, Instant};

use super::means::KindMeans;

/// Time without a call at low load after which what is known of it no longer counts. Origin of the
/// figure not recorded.
const KNOWN_FOR: Duration = Duration::from_secs(30);

/// Times of calls that ran at low load.
#[derive(Debug, Clone, Default)]
pub(super) struct LowLoad {
    times: KindMeans,
    at: Option<Instant>,
}

impl LowLoad {
    /// Times that were taken at once.
    pub(super) const fn measured(times: KindMeans, now: Instant) -> Self {
        Self {
            times,
            at: Some(now),
        }
    }

    /// Counts a call that ended.
    pub(super) fn add(&mut self, kind: u16, seconds: f64, now: Instant) {
        self.times.add(kind, seconds);
        self.at = Some(now);
    }

    /// The times, if they are young enough to compare with.
    pub(super) fn known(&self, now: Instant) -> Option<&KindMeans> {
        let is_known = self
            .at
            .is_some_and(|at| now.saturating_duration_since(at) < KNOWN_FOR);
        is_known.then_some(&self.times)
    }
}
