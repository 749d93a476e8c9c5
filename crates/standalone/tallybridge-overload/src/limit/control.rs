//! The decision about a limit at the end of a window.
//!
//! Latency alone cannot tell a back end that queues calls from one that became slow: both answer
//! late. They differ in what a smaller limit does. Beyond the slots of a back end latency falls in
//! proportion to the calls in flight (Little's law at constant throughput); within them it stays.
//! So each decrease is a [`Probe`], and only a decrease that latency follows is kept. Otherwise
//! the latency that was met becomes the new baseline. The band around the baseline is that of TCP
//! Vegas (Brakmo and Peterson, 1995), the step upwards that of Netflix's `Gradient2`.

use std::time::{Duration, Instant};

use super::probe::{CUT_OFF_ABOVE, Probe, Verdict};

/// Below this ratio of latency to baseline a limit that is used may rise.
const RISE_BELOW: f64 = 1.1;
/// The limit rises by this part of its square root, and by one at least.
const RISE_BY_ROOT: f64 = 0.5;
/// Above this ratio of latency to baseline the limit is probed downwards.
const PROBE_ABOVE: f64 = 1.35;
/// A share of calls shed by the back end above this is a reason to probe.
const SHED_ABOVE: f64 = 0.02;
/// A limit is used when this part of it was in flight on average.
const USED_SHARE: f64 = 0.75;
/// A baseline under steady use of the limit is checked by a probe after this time.
const CHECK_AFTER: Duration = Duration::from_millis(2500);
/// A baseline that was never measured is checked after this time.
const FIRST_CHECK_AFTER: Duration = Duration::from_millis(300);
/// Latency must follow this many probes before a decrease is kept, since one window may mislead.
const FOLLOWED_TWICE: u32 = 2;
/// A baseline may be confirmed by a single step for this time after it was measured.
const MEASURED_FOR: Duration = Duration::from_secs(10);
/// A latency below this ratio to the baseline replaces it at once: the back end became faster.
const FASTER_BELOW: f64 = 0.7;
/// Gain of the moving average by which a slightly lower latency lowers the baseline.
const BASELINE_GAIN: f64 = 0.2;
/// A limit below this part of what was held lately may rise although latency is in the band.
const HELD_SHARE: f64 = 0.8;
/// What is remembered of the greatest limit that was held shrinks to this part in each window.
const HELD_DECAY: f64 = 0.97;

/// What a window showed.
#[derive(Debug, Clone, Copy)]
pub(super) struct Observation {
    /// Mean latency in seconds, without the differences between kinds; `None` without answers.
    pub(super) level: Option<f64>,
    /// Share of calls that the back end shed.
    pub(super) shed_share: f64,
    /// Share of calls that timed out.
    pub(super) timeout_share: f64,
    /// Successes a second.
    pub(super) success_rate: f64,
    /// Successes, timeouts and sheds a second.
    pub(super) completion_rate: f64,
    /// Mean number of calls in flight.
    pub(super) concurrency: f64,
    /// Whether the limit was reached.
    pub(super) was_at_limit: bool,
}

/// The state of the decision from window to window.
#[derive(Debug, Clone, Default)]
pub(super) struct Control {
    baseline: Option<f64>,
    probe: Option<Probe>,
    /// When the baseline was last checked by a probe, or first seen.
    checked: Option<Instant>,
    /// When the baseline was last measured by a probe that went down to the slots.
    measured: Option<Instant>,
    held: f64,
    /// Probes in a row that latency followed.
    followed: u32,
}

impl Control {
    /// Latency in seconds, for a kind of weight one, when the back end queues nothing.
    pub(super) fn baseline(&self) -> Option<f64> {
        self.baseline
    }

    /// Whether the effect of a probe is awaited.
    pub(super) fn is_probing(&self) -> bool {
        self.probe.is_some()
    }

    /// The limit that follows `limit` after a window that showed `seen`.
    pub(super) fn decide(&mut self, limit: f64, seen: Observation, now: Instant) -> f64 {
        if let Some(probe) = self.probe.take() {
            return self.conclude(probe, limit, seen, now);
        }
        self.held = limit.max(self.held * HELD_DECAY);
        let checked = *self.checked.get_or_insert(now);
        self.lower_baseline(seen.level);
        let ratio = self.ratio(seen.level);
        if ratio > PROBE_ABOVE || is_overloaded(seen) {
            return self.start_probe(limit, seen);
        }
        if !seen.was_at_limit || seen.concurrency < limit * USED_SHARE {
            return limit;
        }
        let is_due = now.saturating_duration_since(checked) >= self.check_after();
        if is_due || self.followed > 0 {
            return self.start_probe(limit, seen);
        }
        if ratio < RISE_BELOW || limit < self.held * HELD_SHARE {
            return self.rise(limit);
        }
        limit
    }

    /// A greater limit: twice as much up to what was held lately, then by a part of its root.
    fn rise(&self, limit: f64) -> f64 {
        let doubled = limit * 2.0;
        if doubled <= self.held {
            return doubled;
        }
        limit + (limit.sqrt() * RISE_BY_ROOT).max(1.0)
    }

    /// Latency relative to the baseline; one while either is unknown.
    fn ratio(&self, level: Option<f64>) -> f64 {
        match (level, self.baseline) {
            (Some(level), Some(baseline)) if baseline > 0.0 => level / baseline,
            _ => 1.0,
        }
    }

    fn check_after(&self) -> Duration {
        if self.measured.is_some() {
            CHECK_AFTER
        } else {
            FIRST_CHECK_AFTER
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

    fn start_probe(&mut self, limit: f64, seen: Observation) -> f64 {
        let is_cut_off = seen.timeout_share > CUT_OFF_ABOVE;
        let for_sheds = seen.shed_share > SHED_ABOVE && !is_cut_off;
        let probe = Probe::new(limit, seen, for_sheds);
        self.probe = Some(probe);
        probe.lowered_limit()
    }

    /// Keeps a decrease that latency or sheds followed, and takes back any other.
    fn conclude(&mut self, probe: Probe, limit: f64, seen: Observation, now: Instant) -> f64 {
        let verdict = probe.judge(seen);
        if !matches!(verdict, Verdict::Followed { .. }) {
            self.followed = 0;
        }
        match verdict {
            Verdict::Inconclusive => {
                self.checked = Some(now);
                probe.limit()
            }
            Verdict::Faster { level } => {
                self.lower_baseline(level);
                probe.limit()
            }
            Verdict::TakenBack => probe.limit(),
            Verdict::Kept => self.keep(probe, limit, seen),
            Verdict::Baseline { level, knee } => self.measure(probe, level, knee, now),
            Verdict::Followed { level } => self.follow(probe, level, limit, seen, now),
        }
    }

    /// Goes on downwards while the back end is overloaded.
    fn keep(&mut self, probe: Probe, limit: f64, seen: Observation) -> f64 {
        self.held = self.held.min(probe.limit());
        if is_overloaded(seen) {
            return self.start_probe(limit, seen);
        }
        limit
    }

    /// Takes the latency of a probe that reached the slots as the baseline.
    fn measure(&mut self, probe: Probe, level: f64, knee: f64, now: Instant) -> f64 {
        let was_tolerable = self.ratio(probe.level()) <= PROBE_ABOVE;
        self.baseline = Some(level);
        self.checked = Some(now);
        self.measured = Some(now);
        if was_tolerable { probe.limit() } else { knee }
    }

    /// Goes on downwards, unless the probe only confirmed the baseline.
    fn follow(
        &mut self,
        probe: Probe,
        level: f64,
        limit: f64,
        seen: Observation,
        now: Instant,
    ) -> f64 {
        if self.is_confirmed(probe, level, now) {
            self.baseline = Some(level);
            self.checked = Some(now);
            self.followed = 0;
            return probe.limit();
        }
        self.followed += 1;
        if self.followed < FOLLOWED_TWICE {
            return probe.limit();
        }
        self.lower_baseline(Some(level));
        self.start_probe(limit, seen)
    }

    /// Whether a probe met a baseline that is known well enough to stop there.
    ///
    /// A baseline that was taken above the slots confirms itself, so it must be measured down to
    /// the slots from time to time.
    fn is_confirmed(&self, probe: Probe, level: f64, now: Instant) -> bool {
        let is_recent = self
            .measured
            .is_some_and(|at| now.saturating_duration_since(at) < MEASURED_FOR);
        let was_tolerable = self.ratio(probe.level()) <= PROBE_ABOVE;
        is_recent && was_tolerable && self.ratio(Some(level)) >= 1.0 / RISE_BELOW
    }
}

/// Whether the back end sheds, or most calls time out, which cuts latency off.
fn is_overloaded(seen: Observation) -> bool {
    seen.shed_share > SHED_ABOVE || seen.timeout_share > CUT_OFF_ABOVE
}
