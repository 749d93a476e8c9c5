//! How long calls take at the back end beside this node.

use std::time::Duration;

/// A moving average over answered calls, without their waits for nested calls.
///
/// A call is not started with less time left than this: it would take a slot and end without an
/// answer.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServiceTime {
    average: Option<Duration>,
}

/// Weight of the newest call in the average.
const NEWEST_WEIGHT: f64 = 0.05;
/// A call that was given less than this many times the average and ran out of time says nothing
/// against the back end.
const FAIR_TIME: u32 = 3;

impl ServiceTime {
    /// Takes in an answered call.
    pub fn record(&mut self, latency: Duration) {
        let average = self.average.unwrap_or(latency);
        let older = average.mul_f64(1.0 - NEWEST_WEIGHT);
        self.average = Some(older + latency.mul_f64(NEWEST_WEIGHT));
    }

    /// The average; zero before the first answer.
    #[must_use]
    pub fn average(&self) -> Duration {
        self.average.unwrap_or_default()
    }

    /// Whether a call that ran out of time had been given enough of it.
    #[must_use]
    pub fn was_fair(&self, given: Duration) -> bool {
        given >= self.average() * FAIR_TIME
    }
}
