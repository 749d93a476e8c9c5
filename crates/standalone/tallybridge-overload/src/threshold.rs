//! The admission level of a back end: the least critical class of calls that it admits.
//!
//! The level travels with answers to the entry nodes, which refuse calls below it.

use std::time::{Duration, Instant};

use tallybridge_core::Criticality;

/// The share of the calls below the admission level that still pass the entry, to detect when the
/// back end serves their class again.
///
/// A class counts as starved when the back end serves less than this share of its calls. With one
/// value for both purposes at least as many calls pass as the back end would serve, so early
/// refusal costs no goodput.
pub(super) const PROBE_SHARE: f64 = 0.05;
/// The number of recent calls below which a class is never starved.
const MIN_CALLS_TO_STARVE: f64 = 20.0;

/// The target delay and the time scale of an [`AdmissionThreshold`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ThresholdSettings {
    /// The queueing delay of admitted calls above which the level does not fall.
    pub target_delay: Duration,
    /// The time constant of the call counts, and the shortest time between a change of the level and
    /// its next fall.
    pub interval: Duration,
}

impl Default for ThresholdSettings {
    fn default() -> Self {
        Self {
            target_delay: Duration::from_millis(50),
            interval: Duration::from_millis(200),
        }
    }
}

/// Exponentially decaying call counts of one class.
#[derive(Debug, Clone, Copy, Default)]
struct ClassCount {
    taken: f64,
    refused: f64,
}

impl ClassCount {
    fn is_starved(self) -> bool {
        let calls = self.taken + self.refused;
        calls >= MIN_CALLS_TO_STARVE && self.taken < calls * PROBE_SHARE
    }

    fn decay(&mut self, factor: f64) {
        self.taken *= factor;
        self.refused *= factor;
    }
}

/// The admission level of a back end, after DAGOR (Zhou et al., SoCC 2018).
///
/// The level rises immediately above all starved classes. It falls by one class after each interval
/// in which no call at or above the level was refused or delayed beyond the target.
#[derive(Debug, Clone)]
pub struct AdmissionThreshold {
    settings: ThresholdSettings,
    counts: [ClassCount; Criticality::ALL.len()],
    level: usize,
    congested_at: Option<Instant>,
    changed_at: Option<Instant>,
    ticked_at: Option<Instant>,
    /// Whether congestion occurred since the last tick.
    is_congested: bool,
}

impl AdmissionThreshold {
    /// Creates a level that admits every class.
    #[must_use]
    pub fn new(settings: ThresholdSettings) -> Self {
        Self {
            settings,
            counts: Default::default(),
            level: 0,
            congested_at: None,
            changed_at: None,
            ticked_at: None,
            is_congested: false,
        }
    }

    /// Counts a call that received a slot after a queueing delay of `delay`.
    pub fn record_taken(&mut self, criticality: Criticality, delay: Duration) {
        self.counts[criticality.index()].taken += 1.0;
        let is_admitted = criticality.index() >= self.level;
        self.is_congested |= is_admitted && delay > self.settings.target_delay;
    }

    /// Counts a call that was refused, displaced or shed, or that expired in the queue.
    pub fn record_refused(&mut self, criticality: Criticality) {
        self.counts[criticality.index()].refused += 1.0;
        self.is_congested |= criticality.index() >= self.level;
    }

    /// Returns the least critical class that is admitted, or `None` when every class is refused.
    #[must_use]
    pub fn admitted_from(&self) -> Option<Criticality> {
        Criticality::ALL.get(self.level).copied()
    }

    /// Updates the level from the counts and decays them.
    pub fn tick(&mut self, now: Instant) {
        if std::mem::take(&mut self.is_congested) {
            self.congested_at = Some(now);
        }
        if !self.raise_level(now) {
            self.lower_level(now);
        }
        self.decay_counts(now);
    }

    /// Raises the level past consecutive starved classes and returns whether it changed.
    fn raise_level(&mut self, now: Instant) -> bool {
        let previous_level = self.level;
        while self
            .counts
            .get(self.level)
            .is_some_and(|count| count.is_starved())
        {
            self.level += 1;
        }
        let is_raised = self.level > previous_level;
        if is_raised {
            self.changed_at = Some(now);
        }
        is_raised
    }

    /// Lowers the level by one class after an interval without congestion or a change.
    fn lower_level(&mut self, now: Instant) {
        let is_uncongested = [self.congested_at, self.changed_at]
            .into_iter()
            .flatten()
            .all(|at| now.saturating_duration_since(at) >= self.settings.interval);
        if self.level == 0 || !is_uncongested {
            return;
        }
        self.level -= 1;
        self.counts[self.level] = ClassCount::default();
        self.changed_at = Some(now);
    }

    fn decay_counts(&mut self, now: Instant) {
        let previous_tick = self.ticked_at.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(previous_tick).as_secs_f64();
        let factor = (-elapsed / self.settings.interval.as_secs_f64()).exp();
        for count in &mut self.counts {
            count.decay(factor);
        }
    }
}
