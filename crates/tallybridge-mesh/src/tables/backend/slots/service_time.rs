//! Mean time that a call is with the back end.

use std::time::Duration;

use tokio::time::Instant;

/// Weight of the newest call in the mean. Origin not recorded.
const GAIN: f64 = 0.05;
/// Time without a call that ended after which the mean begins to fade, so that a back end that was slow
/// gets calls again and shows whether it still is. Origin of the figure not recorded.
const TRUSTED_FOR: Duration = Duration::from_millis(1500);
/// Time in which a fading mean shrinks to a third. Origin of the figure not recorded.
const FADE: Duration = Duration::from_millis(2000);

/// Mean time that a call is with the back end; 0 before the first one ended.
#[derive(Debug, Default)]
pub(super) struct ServiceTime {
    seconds: f64,
    ended_at: Option<Instant>,
}

impl ServiceTime {
    /// A call ended that took some time.
    pub(super) fn ended(&mut self, took: Duration, now: Instant) {
        if self.ended_at.is_none() {
            self.seconds = took.as_secs_f64();
        }
        self.seconds = self.faded_seconds(now);
        move_towards(&mut self.seconds, took, GAIN);
        self.ended_at = Some(now);
    }

    /// The mean in seconds when the last call ended.
    pub(super) const fn seconds(&self) -> f64 {
        self.seconds
    }

    /// The mean in seconds, less what it has faded by since the last call ended.
    pub(super) fn faded_seconds(&self, now: Instant) -> f64 {
        let silent = self
            .ended_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let fading = silent.saturating_sub(TRUSTED_FOR);
        let shrink = -fading.as_secs_f64() / FADE.as_secs_f64();
        self.seconds * shrink.exp()
    }
}

/// Moves a mean in seconds towards a sample, which has the weight `gain`, 0 to 1.
pub(super) fn move_towards(mean: &mut f64, sample: Duration, gain: f64) {
    *mean += (sample.as_secs_f64() - *mean) * gain;
}
