//! A temporary decrease of the limit and the evaluation of its effect.
//!
//! A probe compares the window after the decrease with the window before it.

use super::control::Observation;

/// The ratio of the limit during a probe to the calls in flight before the probe.
const PROBE_FACTOR: f64 = 0.75;
/// A probe that leaves more than this share of the calls in flight is inconclusive.
const MAX_CONCLUSIVE_RATIO: f64 = 0.9;
/// The largest quotient of latency ratio and concurrency ratio that counts as proportional.
const PROPORTIONAL_UPPER_FACTOR: f64 = 1.07;
/// The smallest quotient of latency ratio and concurrency ratio that counts as proportional. A
/// larger fall in latency has another cause than the probe.
const PROPORTIONAL_LOWER_FACTOR: f64 = 0.88;
/// A probe reduces shedding if the share of shed calls falls to this factor of its former value.
const MAX_SHED_SHARE_RATIO: f64 = 0.8;
/// A probe goes below the slots if the success rate falls below this factor of its former value.
const MIN_SUCCESS_RATE_RATIO: f64 = 0.88;
/// A larger increase of the completion rate means that the back end became faster during the probe.
const FASTER_COMPLETION_RATIO: f64 = 1.3;
/// The share of timeouts above which latency is capped by the deadline and does not react to the
/// limit, and the share of failed calls above which the share of shed calls hardly reacts to it.
pub(super) const MAX_INFORMATIVE_SHARE: f64 = 0.5;

/// The evaluation of a probe. Latencies are in seconds for a kind of weight one.
#[derive(Debug, Clone, Copy)]
pub(super) enum Verdict {
    /// The windows cannot be compared, because concurrency hardly fell or a latency is missing.
    Inconclusive,
    /// The decrease had no benefit and is undone.
    Reverted,
    /// The decrease is kept, judged by the success rate because latency is not usable.
    Kept,
    /// Latency fell in proportion to concurrency, so the limit is still above the slots.
    Proportional { latency: f64 },
    /// The back end became faster during the probe.
    Faster { latency: Option<f64> },
    /// Latency did not fall in proportion to concurrency, so it is the unloaded latency, and the
    /// back end has about `slots` slots.
    Baseline { latency: f64, slots: f64 },
}

/// A decrease of the limit whose effect is not yet evaluated.
#[derive(Debug, Clone, Copy)]
pub(super) struct Probe {
    previous_limit: f64,
    is_triggered_by_shedding: bool,
    before: Observation,
}

impl Probe {
    pub(super) fn new(
        previous_limit: f64,
        before: Observation,
        is_triggered_by_shedding: bool,
    ) -> Self {
        Self {
            previous_limit,
            is_triggered_by_shedding,
            before,
        }
    }

    pub(super) fn previous_limit(self) -> f64 {
        self.previous_limit
    }

    pub(super) fn previous_latency(self) -> Option<f64> {
        self.before.latency
    }

    /// Returns the limit during the probe, which is below both the previous limit and the previous
    /// calls in flight.
    pub(super) fn lowered_limit(self) -> f64 {
        self.previous_limit.min(self.before.concurrency.max(1.0)) * PROBE_FACTOR
    }

    /// Evaluates the probe from the window after the decrease.
    pub(super) fn judge(self, after: Observation) -> Verdict {
        let concurrency_ratio = after.concurrency / self.before.concurrency.max(1.0);
        if concurrency_ratio > MAX_CONCLUSIVE_RATIO {
            return Verdict::Inconclusive;
        }
        if after.completion_rate > self.before.completion_rate * FASTER_COMPLETION_RATIO {
            return Verdict::Faster {
                latency: after.latency,
            };
        }
        if self.is_triggered_by_shedding {
            return self.judge_shed_share(after);
        }
        if self.before.timeout_share > MAX_INFORMATIVE_SHARE {
            return self.judge_success_rate(after);
        }
        match (self.before.latency, after.latency) {
            (Some(before), Some(latency)) => self.judge_latency(concurrency_ratio, before, latency),
            _ => Verdict::Inconclusive,
        }
    }

    fn judge_latency(self, concurrency_ratio: f64, before: f64, latency: f64) -> Verdict {
        let latency_ratio = latency / before;
        let proportional = concurrency_ratio * PROPORTIONAL_LOWER_FACTOR
            ..=concurrency_ratio * PROPORTIONAL_UPPER_FACTOR;
        if proportional.contains(&latency_ratio) {
            return Verdict::Proportional { latency };
        }
        Verdict::Baseline {
            latency,
            slots: self.estimate_slots(concurrency_ratio, latency_ratio),
        }
    }

    fn judge_shed_share(self, after: Observation) -> Verdict {
        let has_fallen = after.shed_share <= self.before.shed_share * MAX_SHED_SHARE_RATIO;
        let failed_share = self.before.shed_share + self.before.timeout_share;
        if has_fallen || failed_share > MAX_INFORMATIVE_SHARE {
            return self.judge_success_rate(after);
        }
        Verdict::Reverted
    }

    fn judge_success_rate(self, after: Observation) -> Verdict {
        if after.success_rate >= self.before.success_rate * MIN_SUCCESS_RATE_RATIO {
            return Verdict::Kept;
        }
        Verdict::Reverted
    }

    /// Estimates the slots of the back end from the changes in concurrency and latency.
    ///
    /// If latency fell by more than half of the proportional amount, the slots lie between the two
    /// concurrencies. A smaller fall may be noise, and a larger than proportional one has another
    /// cause; neither may lower the limit.
    fn estimate_slots(self, concurrency_ratio: f64, latency_ratio: f64) -> f64 {
        let midpoint = (1.0 + concurrency_ratio) / 2.0;
        if latency_ratio > midpoint || latency_ratio < concurrency_ratio {
            return self.previous_limit;
        }
        self.previous_limit.min(self.before.concurrency) * latency_ratio
    }
}
