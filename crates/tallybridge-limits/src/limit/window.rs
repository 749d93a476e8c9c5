//! The samples between two decisions about the limit.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::sample::{Sample, SampleResult};

/// A window has at least this many samples.
const MIN_SAMPLES: u32 = 16;
/// A window has at least this many samples for each call that may be in flight.
const SAMPLES_PER_SLOT: u32 = 2;
/// A window with a few samples closes after this time, so that a slow back end is followed.
const LONG_WINDOW: Duration = Duration::from_millis(500);
/// The few samples that close a long window.
const FEW_SAMPLES: u32 = 8;

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
    overloads: u32,
    opened: Option<Instant>,
    saturated: bool,
    peak: u16,
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

    /// Counts one finished call.
    pub(super) fn record(&mut self, sample: Sample, now: Instant) {
        if self.settling > 0 {
            self.settling -= 1;
            return;
        }
        self.opened.get_or_insert(now);
        match sample.result {
            SampleResult::Success => self.record_latency(sample),
            SampleResult::Overload => self.overloads += 1,
            SampleResult::Ignore => {}
        }
    }

    /// Notes that `in_flight` calls were running, and whether that was all that the limit allows.
    pub(super) fn note_in_flight(&mut self, in_flight: u16, at_limit: bool) {
        self.peak = self.peak.max(in_flight);
        self.saturated |= at_limit;
    }

    /// Whether there are samples enough to decide at `now` about a limit of `limit`.
    pub(super) fn is_complete(&self, limit: u16, now: Instant) -> bool {
        let samples = self.successes + self.overloads;
        let wanted = MIN_SAMPLES.max(SAMPLES_PER_SLOT * u32::from(limit));
        let long = self
            .opened
            .is_some_and(|opened| now.saturating_duration_since(opened) >= LONG_WINDOW);
        samples >= wanted || (long && samples >= FEW_SAMPLES)
    }

    /// Latencies by kind.
    pub(super) fn totals(&self) -> &BTreeMap<u16, KindTotal> {
        &self.totals
    }

    /// The share (0 to 1) of calls that ended in overload.
    pub(super) fn overload_share(&self) -> f64 {
        let samples = self.successes + self.overloads;
        if samples == 0 {
            return 0.0;
        }
        f64::from(self.overloads) / f64::from(samples)
    }

    /// Whether the limit was reached.
    pub(super) fn saturated(&self) -> bool {
        self.saturated
    }

    /// The most calls that were in flight.
    pub(super) fn peak(&self) -> u16 {
        self.peak
    }

    fn record_latency(&mut self, sample: Sample) {
        let total = self.totals.entry(sample.kind).or_default();
        total.seconds += sample.latency.as_secs_f64();
        total.count += 1.0;
        self.successes += 1;
    }
}
