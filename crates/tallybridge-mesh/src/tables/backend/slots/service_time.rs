//! Mean service time of the back end.

use std::time::Duration;

use tokio::time::Instant;

/// Weight of the newest call in the mean.
const NEWEST_CALL_WEIGHT: f64 = 0.05;
/// Time since the last call ended after which the mean decays, so that a back end that was slow gets calls
/// again.
const DECAY_DELAY: Duration = Duration::from_millis(1500);
const DECAY_TIME_CONSTANT: Duration = Duration::from_millis(2000);

/// Mean time that a call holds a slot; 0 before the first call ended.
#[derive(Debug, Default)]
pub(super) struct ServiceTime {
    seconds: f64,
    /// Time at which the last call ended.
    updated_at: Option<Instant>,
}

impl ServiceTime {
    pub(super) fn record(&mut self, hold_time: Duration, now: Instant) {
        if self.updated_at.is_none() {
            self.seconds = hold_time.as_secs_f64();
        }
        self.seconds = self.decayed_seconds(now);
        update_mean(&mut self.seconds, hold_time, NEWEST_CALL_WEIGHT);
        self.updated_at = Some(now);
    }

    /// Returns the mean without decay since the last call ended.
    pub(super) const fn seconds(&self) -> f64 {
        self.seconds
    }

    /// Returns the mean with its decay since the last call ended.
    pub(super) fn decayed_seconds(&self, now: Instant) -> f64 {
        let idle_time = self.updated_at.map_or(Duration::ZERO, |updated_at| {
            now.saturating_duration_since(updated_at)
        });
        let decay_time = idle_time.saturating_sub(DECAY_DELAY);
        let exponent = -decay_time.as_secs_f64() / DECAY_TIME_CONSTANT.as_secs_f64();
        self.seconds * exponent.exp()
    }
}

/// Updates an exponentially weighted mean in seconds. `weight` is that of the sample, 0 to 1.
pub(super) fn update_mean(mean: &mut f64, sample: Duration, weight: f64) {
    *mean += (sample.as_secs_f64() - *mean) * weight;
}
