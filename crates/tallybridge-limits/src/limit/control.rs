//! The decision about a limit at the end of a window.
//!
//! Latency alone cannot tell a back end that queues calls from one that became slow: both answer
//! late. They differ in what a smaller limit does. Beyond the slots of a back end latency falls in
//! proportion to the limit (Little's law at constant throughput); within them it stays. So each
//! decrease is a probe, and only a decrease that latency follows is kept. Otherwise the latency
//! that was met becomes the new baseline, and the limit returns to the knee that the two points
//! give. The band around the baseline is that of TCP Vegas (Brakmo and Peterson, 1995), the step
//! upwards that of Netflix's `Gradient2`.

use std::time::{Duration, Instant};

/// Below this ratio of latency to baseline a limit that is used may rise.
const RISE_BELOW: f64 = 1.15;
/// Above this ratio of latency to baseline the limit is probed downwards.
const PROBE_ABOVE: f64 = 1.4;
/// The share of the limit that a probe leaves.
const PROBE_STEP: f64 = 0.75;
/// A probe is followed in proportion when latency falls to this multiple of the step or lower.
const FOLLOWED_WITHIN: f64 = 1.07;
/// A share of overloads above this is a reason to probe.
const OVERLOAD_SHARE: f64 = 0.02;
/// Overloads have followed a probe when their share fell to this part of what it was.
const OVERLOAD_FOLLOWED: f64 = 0.8;
/// A baseline under steady saturation is measured again after this time.
const REMEASURE_AFTER: Duration = Duration::from_secs(5);
/// A baseline that was never measured by a probe is measured after this time.
const FIRST_MEASURE_AFTER: Duration = Duration::from_millis(300);
/// A latency below this ratio to the baseline replaces it at once: the back end became faster.
const FASTER_BELOW: f64 = 0.7;
/// Gain of the moving average by which a slightly lower latency lowers the baseline.
const BASELINE_GAIN: f64 = 0.2;

/// What a window showed.
#[derive(Debug, Clone, Copy)]
pub(super) struct Observation {
    /// Mean latency in seconds, without the differences between kinds; `None` without successes.
    pub(super) level: Option<f64>,
    /// Share of calls that ended in overload.
    pub(super) overload_share: f64,
    /// Whether the limit was reached.
    pub(super) saturated: bool,
    /// The most calls that were in flight.
    pub(super) peak: u16,
}

/// A decrease whose effect is awaited.
#[derive(Debug, Clone, Copy)]
struct Probe {
    limit: f64,
    concurrency: f64,
    level: Option<f64>,
    overload_share: f64,
}

/// The state of the decision from window to window.
#[derive(Debug, Clone, Default)]
pub(super) struct Control {
    baseline: Option<f64>,
    probe: Option<Probe>,
    measured: Option<Instant>,
    ever_measured: bool,
}

impl Control {
    /// The limit that follows `limit` after a window that showed `seen`.
    pub(super) fn decide(&mut self, limit: f64, seen: Observation, now: Instant) -> f64 {
        if let Some(probe) = self.probe.take() {
            return self.judge(probe, limit, seen, now);
        }
        let measured = *self.measured.get_or_insert(now);
        self.lower_baseline(seen.level);
        let ratio = self.ratio(seen.level);
        if ratio > PROBE_ABOVE || seen.overload_share > OVERLOAD_SHARE {
            return self.start_probe(limit, seen);
        }
        if !seen.saturated {
            return limit;
        }
        if now.saturating_duration_since(measured) >= self.remeasure_after() {
            return self.start_probe(limit, seen);
        }
        if ratio < RISE_BELOW {
            return limit + limit.sqrt();
        }
        limit
    }

    /// Latency relative to the baseline; one while either is unknown.
    fn ratio(&self, level: Option<f64>) -> f64 {
        match (level, self.baseline) {
            (Some(level), Some(baseline)) if baseline > 0.0 => level / baseline,
            _ => 1.0,
        }
    }

    fn remeasure_after(&self) -> Duration {
        if self.ever_measured {
            REMEASURE_AFTER
        } else {
            FIRST_MEASURE_AFTER
        }
    }

    fn lower_baseline(&mut self, level: Option<f64>) {
        let Some(level) = level else { return };
        let baseline = self.baseline.get_or_insert(level);
        if level < *baseline * FASTER_BELOW {
            *baseline = level;
        } else if level < *baseline {
            *baseline += BASELINE_GAIN * (level - *baseline);
        }
    }

    /// Lowers the limit below what was used, and remembers what it was.
    fn start_probe(&mut self, limit: f64, seen: Observation) -> f64 {
        let concurrency = limit.min(f64::from(seen.peak.max(1)));
        self.probe = Some(Probe {
            limit,
            concurrency,
            level: seen.level,
            overload_share: seen.overload_share,
        });
        concurrency * PROBE_STEP
    }

    /// Keeps a decrease that latency or overloads followed, and takes back any other.
    fn judge(&mut self, probe: Probe, limit: f64, seen: Observation, now: Instant) -> f64 {
        if probe.overload_share > OVERLOAD_SHARE {
            return self.judge_overload(probe, limit, seen);
        }
        let (Some(before), Some(level)) = (probe.level, seen.level) else {
            return limit;
        };
        let step = limit / probe.concurrency;
        let fall = (level / before).min(1.0);
        let was_tolerable = self.ratio(Some(before)) <= PROBE_ABOVE;
        let confirmed = was_tolerable && self.ratio(Some(level)) >= 1.0 / RISE_BELOW;
        if fall > step * FOLLOWED_WITHIN || confirmed {
            self.measure(level, now);
            let knee = probe.concurrency * fall;
            return if was_tolerable {
                probe.limit
            } else {
                restored(probe, knee)
            };
        }
        self.lower_baseline(Some(level));
        self.start_probe(limit, seen)
    }

    fn judge_overload(&mut self, probe: Probe, limit: f64, seen: Observation) -> f64 {
        if seen.overload_share > probe.overload_share * OVERLOAD_FOLLOWED {
            return probe.limit;
        }
        if seen.overload_share > OVERLOAD_SHARE {
            return self.start_probe(limit, seen);
        }
        limit
    }

    fn measure(&mut self, level: f64, now: Instant) {
        self.baseline = Some(level);
        self.measured = Some(now);
        self.ever_measured = true;
    }
}

/// The limit after a probe that found the slots: the knee, or the old limit if that was not used.
fn restored(probe: Probe, knee: f64) -> f64 {
    if probe.concurrency < probe.limit && knee >= probe.concurrency {
        return probe.limit;
    }
    knee
}
