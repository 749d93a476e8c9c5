//! The samples between two decisions about the limit.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::sample::{Sample, SampleResult};

/// How many samples close a window, and when.
#[derive(Debug, Clone, Copy)]
pub(super) struct WindowSize {
    /// Samples that close the window at any time.
    samples: u32,
    /// Samples that close it for each call that may be in flight.
    samples_per_slot: u32,
    /// Samples that close it after `long`.
    few_samples: u32,
    /// How long a window may take with more than a few samples.
    long: Duration,
}

/// The size of a window after which the limit may rise: a wrong step is soon taken back.
const COARSE: WindowSize = WindowSize {
    samples: 24,
    samples_per_slot: 2,
    few_samples: 12,
    long: Duration::from_millis(250),
};
/// The size of a window that is compared with another.
const FINE: WindowSize = WindowSize {
    samples: 32,
    samples_per_slot: 2,
    few_samples: 16,
    long: Duration::from_millis(500),
};

/// Latencies of one kind of call in a window.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct KindTotal {
    /// Sum of latencies, in seconds.
    pub(super) seconds: f64,
    /// Number of latencies.
    pub(super) count: f64,
}

/// The samples between two decisions about the limit.
#[derive(Debug, Clone, Default)]
pub(super) struct Window {
    totals: BTreeMap<u16, KindTotal>,
    successes: u32,
    timeouts: u32,
    sheds: u32,
    /// When the first sample was counted.
    opened: Option<Instant>,
    /// Until when `call_seconds` was counted.
    passed: Option<Instant>,
    /// Time that calls were in flight since the window opened, summed over the calls.
    call_seconds: f64,
    at_limit: bool,
    /// Samples still to be ignored.
    settling: u16,
}

impl Window {
    /// A window that ignores the first `settling` samples: calls that ran under an older limit.
    pub(super) fn after_change(settling: u16) -> Self {
        Self {
            settling,
            ..Self::default()
        }
    }

    /// Notes that `in_flight` calls were running until `now`.
    pub(super) fn pass(&mut self, in_flight: u16, now: Instant) {
        let passed = self.passed.replace(now).unwrap_or(now);
        if self.opened.is_some() {
            let seconds = now.saturating_duration_since(passed).as_secs_f64();
            self.call_seconds += seconds * f64::from(in_flight);
        }
    }

    /// Counts one finished call of a kind that naturally takes `natural` seconds.
    ///
    /// An overload that took longer is a call that timed out: its latency is at least what was
    /// seen, and counts as such. One that came back sooner was shed.
    pub(super) fn record(&mut self, sample: Sample, natural: Option<f64>, now: Instant) {
        if self.settling > 0 {
            self.settling -= 1;
            return;
        }
        self.opened.get_or_insert(now);
        match sample.result {
            SampleResult::Success => self.successes += 1,
            SampleResult::Overload if is_slow(sample, natural) => self.timeouts += 1,
            SampleResult::Overload => self.sheds += 1,
            SampleResult::Ignore => return,
        }
        if sample.result == SampleResult::Success || is_slow(sample, natural) {
            self.record_latency(sample);
        }
    }

    /// Notes that as many calls were running as the limit allows.
    pub(super) fn note_at_limit(&mut self) {
        self.at_limit = true;
    }

    /// Whether there are samples enough to decide at `now` about a limit of `limit`.
    pub(super) fn is_complete(&self, limit: u16, probing: bool, now: Instant) -> bool {
        let size = if probing { FINE } else { COARSE };
        let samples = self.samples();
        let long = self
            .opened
            .is_some_and(|opened| now.saturating_duration_since(opened) >= size.long);
        let wanted = size.samples.max(size.samples_per_slot * u32::from(limit));
        samples >= wanted || (long && samples >= size.few_samples)
    }

    /// Latencies by kind.
    pub(super) fn totals(&self) -> &BTreeMap<u16, KindTotal> {
        &self.totals
    }

    /// The share (0 to 1) of calls that were shed.
    pub(super) fn shed_share(&self) -> f64 {
        share(self.sheds, self.samples())
    }

    /// The share (0 to 1) of calls that timed out.
    pub(super) fn timeout_share(&self) -> f64 {
        share(self.timeouts, self.samples())
    }

    /// The mean number of calls in flight up to `now`.
    pub(super) fn concurrency(&self, now: Instant) -> f64 {
        let seconds = self.seconds(now);
        if seconds <= 0.0 {
            return 0.0;
        }
        self.call_seconds / seconds
    }

    /// Successes a second up to `now`.
    pub(super) fn success_rate(&self, now: Instant) -> f64 {
        self.rate(self.successes, now)
    }

    /// Successes, timeouts and sheds a second up to `now`.
    pub(super) fn completion_rate(&self, now: Instant) -> f64 {
        self.rate(self.samples(), now)
    }

    /// Whether the limit was reached.
    pub(super) fn was_at_limit(&self) -> bool {
        self.at_limit
    }

    fn samples(&self) -> u32 {
        self.successes + self.timeouts + self.sheds
    }

    fn rate(&self, count: u32, now: Instant) -> f64 {
        let seconds = self.seconds(now);
        if seconds <= 0.0 {
            return 0.0;
        }
        f64::from(count) / seconds
    }

    fn seconds(&self, now: Instant) -> f64 {
        let opened = self.opened.unwrap_or(now);
        now.saturating_duration_since(opened).as_secs_f64()
    }

    fn record_latency(&mut self, sample: Sample) {
        let total = self.totals.entry(sample.kind).or_default();
        total.seconds += sample.latency.as_secs_f64();
        total.count += 1.0;
    }
}

/// `part` of `whole`; zero when there is none.
fn share(part: u32, whole: u32) -> f64 {
    f64::from(part) / f64::from(whole.max(1))
}

/// Whether a call took longer than its kind naturally does.
fn is_slow(sample: Sample, natural: Option<f64>) -> bool {
    natural.is_some_and(|natural| sample.latency.as_secs_f64() > natural)
}
