//! A decrease of the limit whose effect is awaited, and what the effect says.

use super::control::Observation;

/// The share of the calls in flight that a probe leaves.
const STEP: f64 = 0.75;
/// A probe that left more than this share of the calls in flight says nothing.
const TOO_SMALL_STEP: f64 = 0.9;
/// Latency followed in proportion when it fell to this multiple of the step or lower.
const FOLLOWED_WITHIN: f64 = 1.07;
/// A fall in latency to less than this part of what the step explains is not the step's doing: the
/// back end became faster meanwhile.
const UNEXPLAINED_BELOW: f64 = 0.88;
/// Sheds followed when their share fell to this part of what it was.
const SHEDS_FOLLOWED: f64 = 0.8;
/// A decrease that leaves less than this part of the answers goes below the slots.
const ANSWERS_KEPT: f64 = 0.88;
/// An increase of completions to this multiple is not the step's doing either.
const MORE_COMPLETIONS: f64 = 1.3;
/// Above this share of timeouts latency is cut off at the deadline and cannot follow, and above
/// this share of sheds the share hardly moves.
pub(super) const CUT_OFF_ABOVE: f64 = 0.5;

/// What the effect of a probe says.
#[derive(Debug, Clone, Copy)]
pub(super) enum Verdict {
    /// Load changed so that nothing can be said.
    Inconclusive,
    /// The decrease brought nothing.
    TakenBack,
    /// The decrease helped, as far as can be seen without latencies.
    Kept,
    /// Latency, now `level` seconds, fell in proportion: the slots are fewer still.
    Followed {
        /// Seconds for a kind of weight one.
        level: f64,
    },
    /// The back end became faster meanwhile; latency is now `level` seconds.
    Faster {
        /// Seconds for a kind of weight one.
        level: Option<f64>,
    },
    /// Latency did not follow below `level` seconds: it is natural, and the slots are `knee`.
    Baseline {
        /// Seconds for a kind of weight one.
        level: f64,
        /// Calls in flight.
        knee: f64,
    },
}

/// A decrease of the limit whose effect is awaited.
#[derive(Debug, Clone, Copy)]
pub(super) struct Probe {
    limit: f64,
    for_sheds: bool,
    before: Observation,
}

impl Probe {
    /// A probe below `limit`, or below the calls that were in flight if those were fewer.
    pub(super) fn new(limit: f64, before: Observation, for_sheds: bool) -> Self {
        Self {
            limit,
            for_sheds,
            before,
        }
    }

    /// The limit before the probe.
    pub(super) fn limit(self) -> f64 {
        self.limit
    }

    /// The latency before the probe.
    pub(super) fn level(self) -> Option<f64> {
        self.before.level
    }

    /// The limit while the probe lasts.
    pub(super) fn lowered_limit(self) -> f64 {
        self.limit.min(self.before.concurrency.max(1.0)) * STEP
    }

    /// What the window after the decrease says.
    pub(super) fn judge(self, after: Observation) -> Verdict {
        let step = after.concurrency / self.before.concurrency.max(1.0);
        if step > TOO_SMALL_STEP {
            return Verdict::Inconclusive;
        }
        if after.completion_rate > self.before.completion_rate * MORE_COMPLETIONS {
            return Verdict::Faster { level: after.level };
        }
        if self.for_sheds {
            return self.judge_sheds(after);
        }
        if self.before.timeout_share > CUT_OFF_ABOVE {
            return self.judge_answers(after);
        }
        match (self.before.level, after.level) {
            (Some(before), Some(level)) => self.judge_latency(step, before, level),
            _ => Verdict::Inconclusive,
        }
    }

    fn judge_latency(self, step: f64, before: f64, level: f64) -> Verdict {
        let fall = level / before;
        let explained = step * UNEXPLAINED_BELOW..=step * FOLLOWED_WITHIN;
        if explained.contains(&fall) {
            return Verdict::Followed { level };
        }
        Verdict::Baseline {
            level,
            knee: self.knee(step, fall),
        }
    }

    fn judge_sheds(self, after: Observation) -> Verdict {
        let followed = after.shed_share <= self.before.shed_share * SHEDS_FOLLOWED;
        let failed = self.before.shed_share + self.before.timeout_share;
        if followed || failed > CUT_OFF_ABOVE {
            return self.judge_answers(after);
        }
        Verdict::TakenBack
    }

    fn judge_answers(self, after: Observation) -> Verdict {
        if after.success_rate >= self.before.success_rate * ANSWERS_KEPT {
            return Verdict::Kept;
        }
        Verdict::TakenBack
    }

    /// The slots, when the probe left `step` of the calls in flight and latency fell to `fall`.
    ///
    /// They lie between the two concurrencies when latency followed for a part of the way. Noise
    /// must not lower the limit of a back end that did not follow, so the lesser half of what a
    /// step explains counts as nothing.
    fn knee(self, step: f64, fall: f64) -> f64 {
        let halfway = (1.0 + step) / 2.0;
        if fall > halfway || fall < step {
            return self.limit;
        }
        self.limit.min(self.before.concurrency) * fall
    }
}
