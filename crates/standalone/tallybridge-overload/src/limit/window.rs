//! The samples between two adaptations of the limit.
//!
//! A window closes when it has enough samples for a decision.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::sample::{Sample, SampleResult};

/// The number of samples that completes a window before and after `wait` has passed.
#[derive(Debug, Clone, Copy)]
pub(super) struct WindowSize {
    min_samples: u32,
    /// Applies per call that the limit allows, if the product exceeds `min_samples`.
    min_samples_per_slot: u32,
    min_samples_after_wait: u32,
    wait: Duration,
}

/// Small, because a later window corrects a wrong increase.
const REGULAR_WINDOW: WindowSize = WindowSize {
    min_samples: 24,
    min_samples_per_slot: 2,
    min_samples_after_wait: 12,
    wait: Duration::from_millis(250),
};
/// Large, because the result is compared with that of the previous window.
const PROBE_WINDOW: WindowSize = WindowSize {
    min_samples: 32,
    min_samples_per_slot: 2,
    min_samples_after_wait: 16,
    wait: Duration::from_millis(500),
};

/// The sum and number of the latencies of one kind of call in a window.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct KindTotal {
    pub(super) seconds: f64,
    pub(super) count: f64,
}

/// The samples between two adaptations of the limit.
#[derive(Debug, Clone, Default)]
pub(super) struct Window {
    totals: BTreeMap<u16, KindTotal>,
    successes: u32,
    timeouts: u32,
    shed_calls: u32,
    /// When the first sample after the skipped ones was recorded.
    opened_at: Option<Instant>,
    /// The time up to which `call_seconds` is counted.
    counted_until: Option<Instant>,
    /// The time that calls were in flight since `opened_at`, summed over all calls.
    call_seconds: f64,
    was_at_limit: bool,
    samples_to_skip: u16,
}

impl Window {
    /// Creates a window that skips the samples of calls that started under the previous limit.
    pub(super) fn skipping(samples_to_skip: u16) -> Self {
        Self {
            samples_to_skip,
            ..Self::default()
        }
    }

    /// Adds the time up to `now` for `in_flight` calls.
    pub(super) fn add_running_time(&mut self, in_flight: u16, now: Instant) {
        let counted_until = self.counted_until.replace(now).unwrap_or(now);
        if self.opened_at.is_some() {
            let seconds = now.saturating_duration_since(counted_until).as_secs_f64();
            self.call_seconds += seconds * f64::from(in_flight);
        }
    }

    /// Records a finished call of a kind with an unloaded latency of `unloaded_seconds`.
    ///
    /// An overload result after a longer latency counts as a timeout, whose latency is a lower bound
    /// of the real one. Any other overload result counts as a shed call.
    pub(super) fn record(&mut self, sample: Sample, unloaded_seconds: Option<f64>, now: Instant) {
        if self.samples_to_skip > 0 {
            self.samples_to_skip -= 1;
            return;
        }
        self.opened_at.get_or_insert(now);
        match sample.result {
            SampleResult::Success => self.successes += 1,
            SampleResult::Overload if is_slow(sample, unloaded_seconds) => self.timeouts += 1,
            SampleResult::Overload => self.shed_calls += 1,
            SampleResult::Ignore => return,
        }
        if sample.result == SampleResult::Success || is_slow(sample, unloaded_seconds) {
            self.record_latency(sample);
        }
    }

    pub(super) fn record_at_limit(&mut self) {
        self.was_at_limit = true;
    }

    /// Returns whether the samples suffice for a decision about `limit`.
    pub(super) fn is_complete(&self, limit: u16, is_probing: bool, now: Instant) -> bool {
        let size = if is_probing {
            PROBE_WINDOW
        } else {
            REGULAR_WINDOW
        };
        let samples = self.samples();
        let has_waited = self
            .opened_at
            .is_some_and(|opened_at| now.saturating_duration_since(opened_at) >= size.wait);
        let required = size
            .min_samples
            .max(size.min_samples_per_slot * u32::from(limit));
        samples >= required || (has_waited && samples >= size.min_samples_after_wait)
    }

    pub(super) fn totals(&self) -> &BTreeMap<u16, KindTotal> {
        &self.totals
    }

    pub(super) fn shed_share(&self) -> f64 {
        share(self.shed_calls, self.samples())
    }

    pub(super) fn timeout_share(&self) -> f64 {
        share(self.timeouts, self.samples())
    }

    /// Returns the mean number of calls in flight up to `now`.
    pub(super) fn concurrency(&self, now: Instant) -> f64 {
        let seconds = self.elapsed_seconds(now);
        if seconds <= 0.0 {
            return 0.0;
        }
        self.call_seconds / seconds
    }

    /// Returns the successes per second up to `now`.
    pub(super) fn success_rate(&self, now: Instant) -> f64 {
        self.rate(self.successes, now)
    }

    /// Returns the successes, timeouts and shed calls per second up to `now`.
    pub(super) fn completion_rate(&self, now: Instant) -> f64 {
        self.rate(self.samples(), now)
    }

    pub(super) fn was_at_limit(&self) -> bool {
        self.was_at_limit
    }

    fn samples(&self) -> u32 {
        self.successes + self.timeouts + self.shed_calls
    }

    fn rate(&self, count: u32, now: Instant) -> f64 {
        let seconds = self.elapsed_seconds(now);
        if seconds <= 0.0 {
            return 0.0;
        }
        f64::from(count) / seconds
    }

    fn elapsed_seconds(&self, now: Instant) -> f64 {
        let opened_at = self.opened_at.unwrap_or(now);
        now.saturating_duration_since(opened_at).as_secs_f64()
    }

    fn record_latency(&mut self, sample: Sample) {
        let total = self.totals.entry(sample.kind).or_default();
        total.seconds += sample.latency.as_secs_f64();
        total.count += 1.0;
    }
}

/// Returns `part` divided by `whole`, or zero when `whole` is zero.
fn share(part: u32, whole: u32) -> f64 {
    f64::from(part) / f64::from(whole.max(1))
}

fn is_slow(sample: Sample, unloaded_seconds: Option<f64>) -> bool {
    unloaded_seconds.is_some_and(|unloaded_seconds| sample.latency.as_secs_f64() > unloaded_seconds)
}
