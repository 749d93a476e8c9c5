//! Times that calls take at low load.

use std::time::{Duration, Instant};

use super::means::MeanTimesByKind;

/// Time since the last call at low load after which the times are discarded.
const MAX_AGE: Duration = Duration::from_secs(30);

#[derive(Debug, Clone, Default)]
pub(super) struct LowLoadTimes {
    times: MeanTimesByKind,
    updated_at: Option<Instant>,
}

impl LowLoadTimes {
    pub(super) const fn new(times: MeanTimesByKind, now: Instant) -> Self {
        Self {
            times,
            updated_at: Some(now),
        }
    }

    pub(super) fn record(&mut self, kind: u16, seconds: f64, now: Instant) {
        self.times.record(kind, seconds);
        self.updated_at = Some(now);
    }

    /// Returns the times, or `None` if they are older than [`MAX_AGE`].
    pub(super) fn recent(&self, now: Instant) -> Option<&MeanTimesByKind> {
        let is_recent = self
            .updated_at
            .is_some_and(|updated_at| now.saturating_duration_since(updated_at) < MAX_AGE);
        is_recent.then_some(&self.times)
    }
}
