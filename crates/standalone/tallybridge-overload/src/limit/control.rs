//! The adaptation of the limit at the end of a window.
//!
//! High latency alone does not distinguish a back end that queues calls from a slow one. Above the
//! slots, latency falls in proportion to the calls in flight (Little's law); below them it does not
//! change. Each decrease is therefore a [`Probe`] that is kept only if latency falls with it;
//! otherwise the observed latency becomes the baseline. The band around the baseline follows TCP
//! Vegas (Brakmo and Peterson, 1995), the increase Netflix's `Gradient2`.

use std::time::{Duration, Instant};

use super::probe::{MAX_INFORMATIVE_SHARE, Probe, Verdict};

/// The ratio of latency to baseline below which a limit in use may increase.
const INCREASE_BELOW_RATIO: f64 = 1.1;
/// The increase of the limit relative to its square root. The limit grows by at least one.
const INCREASE_PER_SQRT: f64 = 0.5;
/// The ratio of latency to baseline above which a probe starts.
const PROBE_ABOVE_RATIO: f64 = 1.35;
/// The share of shed calls above which a probe starts.
const OVERLOAD_SHED_SHARE: f64 = 0.02;
/// The mean share of the limit that must be in flight before the limit increases.
const MIN_USED_SHARE: f64 = 0.75;
/// The interval of probes that check a measured baseline while the limit is in use.
const CHECK_INTERVAL: Duration = Duration::from_millis(2500);
/// The delay of the first such probes, until one has reached the slots. Shorter, because the first
/// baseline may include queueing.
const FIRST_CHECK_DELAY: Duration = Duration::from_millis(300);
/// The number of consecutive probes with a proportional fall in latency before a decrease is kept.
/// A single window may be noise.
const MIN_PROPORTIONAL_PROBES: u32 = 2;
/// The age up to which one probe is enough to confirm a measured baseline.
const MEASUREMENT_MAX_AGE: Duration = Duration::from_secs(10);
/// A latency below this ratio to the baseline replaces it, because the back end became faster.
const REPLACE_BASELINE_BELOW_RATIO: f64 = 0.7;
/// The gain of the moving average that lowers the baseline towards a slightly lower latency.
const BASELINE_GAIN: f64 = 0.2;
/// A limit below this share of the recent maximum may increase although latency is in the band.
const RECENT_MAX_SHARE: f64 = 0.8;
/// The decay of the recent maximum per window.
const RECENT_MAX_DECAY: f64 = 0.97;

/// The statistics of a window. Rates are per second.
#[derive(Debug, Clone, Copy)]
pub(super) struct Observation {
    /// Mean latency in seconds for a kind of weight one, or `None` without samples.
    pub(super) latency: Option<f64>,
    pub(super) shed_share: f64,
    pub(super) timeout_share: f64,
    pub(super) success_rate: f64,
    /// Successes, timeouts and shed calls.
    pub(super) completion_rate: f64,
    /// Mean number of calls in flight.
    pub(super) concurrency: f64,
    pub(super) was_at_limit: bool,
}

/// The controller state that persists between windows.
#[derive(Debug, Clone, Default)]
pub(super) struct Control {
    baseline: Option<f64>,
    probe: Option<Probe>,
    /// When a probe last checked the baseline, or when the first window closed.
    checked_at: Option<Instant>,
    /// When a probe that reached the slots last measured the baseline.
    measured_at: Option<Instant>,
    recent_max_limit: f64,
    /// Consecutive probes with a proportional fall in latency.
    proportional_probes: u32,
}

impl Control {
    /// Returns the unloaded latency in seconds for a kind of weight one.
    pub(super) fn baseline(&self) -> Option<f64> {
        self.baseline
    }

    pub(super) fn is_probing(&self) -> bool {
        self.probe.is_some()
    }

    /// Returns the limit for the next window.
    pub(super) fn decide(&mut self, limit: f64, observation: Observation, now: Instant) -> f64 {
        if let Some(probe) = self.probe.take() {
            return self.finish_probe(probe, limit, observation, now);
        }
        self.recent_max_limit = limit.max(self.recent_max_limit * RECENT_MAX_DECAY);
        let checked_at = *self.checked_at.get_or_insert(now);
        self.lower_baseline(observation.latency);
        let ratio = self.ratio(observation.latency);
        if ratio > PROBE_ABOVE_RATIO || is_overloaded(observation) {
            return self.start_probe(limit, observation);
        }
        if !observation.was_at_limit || observation.concurrency < limit * MIN_USED_SHARE {
            return limit;
        }
        let is_check_due = now.saturating_duration_since(checked_at) >= self.check_delay();
        if is_check_due || self.proportional_probes > 0 {
            return self.start_probe(limit, observation);
        }
        if ratio < INCREASE_BELOW_RATIO || limit < self.recent_max_limit * RECENT_MAX_SHARE {
            return self.increase(limit);
        }
        limit
    }

    /// Doubles the limit up to the recent maximum, and above it adds a share of its square root.
    fn increase(&self, limit: f64) -> f64 {
        let doubled = limit * 2.0;
        if doubled <= self.recent_max_limit {
            return doubled;
        }
        limit + (limit.sqrt() * INCREASE_PER_SQRT).max(1.0)
    }

    /// Returns the ratio of latency to baseline, or one while either is unknown.
    fn ratio(&self, latency: Option<f64>) -> f64 {
        match (latency, self.baseline) {
            (Some(latency), Some(baseline)) if baseline > 0.0 => latency / baseline,
            _ => 1.0,
        }
    }

    fn check_delay(&self) -> Duration {
        if self.measured_at.is_some() {
            CHECK_INTERVAL
        } else {
            FIRST_CHECK_DELAY
        }
    }

    fn lower_baseline(&mut self, latency: Option<f64>) {
        let Some(latency) = latency else { return };
        let baseline = self.baseline.get_or_insert(latency);
        if latency < *baseline * REPLACE_BASELINE_BELOW_RATIO {
            *baseline = latency;
        } else if latency < *baseline {
            *baseline += BASELINE_GAIN * (latency - *baseline);
        }
    }

    fn start_probe(&mut self, limit: f64, observation: Observation) -> f64 {
        let is_latency_capped = observation.timeout_share > MAX_INFORMATIVE_SHARE;
        let is_triggered_by_shedding =
            observation.shed_share > OVERLOAD_SHED_SHARE && !is_latency_capped;
        let probe = Probe::new(limit, observation, is_triggered_by_shedding);
        self.probe = Some(probe);
        probe.lowered_limit()
    }

    /// Applies the verdict on a probe and returns the next limit.
    fn finish_probe(
        &mut self,
        probe: Probe,
        limit: f64,
        observation: Observation,
        now: Instant,
    ) -> f64 {
        let verdict = probe.judge(observation);
        if !matches!(verdict, Verdict::Proportional { .. }) {
            self.proportional_probes = 0;
        }
        match verdict {
            Verdict::Inconclusive => {
                self.checked_at = Some(now);
                probe.previous_limit()
            }
            Verdict::Faster { latency } => {
                self.lower_baseline(latency);
                probe.previous_limit()
            }
            Verdict::Reverted => probe.previous_limit(),
            Verdict::Kept => self.keep_decrease(probe, limit, observation),
            Verdict::Baseline { latency, slots } => {
                self.set_measured_baseline(probe, latency, slots, now)
            }
            Verdict::Proportional { latency } => {
                self.handle_proportional(probe, latency, limit, observation, now)
            }
        }
    }

    /// Keeps the decreased limit, and starts another probe if the back end is still overloaded.
    fn keep_decrease(&mut self, probe: Probe, limit: f64, observation: Observation) -> f64 {
        self.recent_max_limit = self.recent_max_limit.min(probe.previous_limit());
        if is_overloaded(observation) {
            return self.start_probe(limit, observation);
        }
        limit
    }

    /// Sets the baseline to the latency of a probe that reached the slots.
    fn set_measured_baseline(
        &mut self,
        probe: Probe,
        latency: f64,
        slots: f64,
        now: Instant,
    ) -> f64 {
        let was_in_band = self.ratio(probe.previous_latency()) <= PROBE_ABOVE_RATIO;
        self.baseline = Some(latency);
        self.checked_at = Some(now);
        self.measured_at = Some(now);
        if was_in_band {
            probe.previous_limit()
        } else {
            slots
        }
    }

    /// Restores the previous limit if the probe confirmed the baseline or a single probe is not
    /// enough, and otherwise probes further down.
    fn handle_proportional(
        &mut self,
        probe: Probe,
        latency: f64,
        limit: f64,
        observation: Observation,
        now: Instant,
    ) -> f64 {
        if self.confirms_baseline(probe, latency, now) {
            self.baseline = Some(latency);
            self.checked_at = Some(now);
            self.proportional_probes = 0;
            return probe.previous_limit();
        }
        self.proportional_probes += 1;
        if self.proportional_probes < MIN_PROPORTIONAL_PROBES {
            return probe.previous_limit();
        }
        self.lower_baseline(Some(latency));
        self.start_probe(limit, observation)
    }

    /// Returns whether a probe confirms a baseline that was recently measured at the slots.
    ///
    /// The measurement must be recent, because a baseline taken above the slots would always confirm
    /// itself.
    fn confirms_baseline(&self, probe: Probe, latency: f64, now: Instant) -> bool {
        let is_recent = self
            .measured_at
            .is_some_and(|at| now.saturating_duration_since(at) < MEASUREMENT_MAX_AGE);
        let was_in_band = self.ratio(probe.previous_latency()) <= PROBE_ABOVE_RATIO;
        is_recent && was_in_band && self.ratio(Some(latency)) >= 1.0 / INCREASE_BELOW_RATIO
    }
}

/// Returns whether the back end sheds calls, or most calls time out and cap the latency.
fn is_overloaded(observation: Observation) -> bool {
    observation.shed_share > OVERLOAD_SHED_SHARE
        || observation.timeout_share > MAX_INFORMATIVE_SHARE
}
