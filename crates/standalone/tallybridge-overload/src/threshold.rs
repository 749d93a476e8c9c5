//! The least critical class that a back end still takes.

use std::time::{Duration, Instant};

use tallybridge_core::Criticality;

/// The share of a class that is let through although the class is refused early, to learn when
/// the back end takes it again.
///
/// A class counts as starved only when the back end takes less than this share of it, so the calls
/// let through are at least as many as the back end would have taken: refusing early costs no
/// goodput.
pub(super) const PROBE_SHARE: f64 = 0.05;
/// Calls of a class that must be seen before it may be called starved.
const MIN_CALLS: f64 = 20.0;

/// Settings of an [`AdmissionThreshold`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ThresholdSettings {
    /// The level does not fall while calls wait longer than this.
    pub target_delay: Duration,
    /// Time over which calls are counted, and in which the level falls by at most one class.
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

/// Calls of one class, counted with exponential decay.
#[derive(Debug, Clone, Copy, Default)]
struct ClassCount {
    taken: f64,
    refused: f64,
}

impl ClassCount {
    fn is_starved(self) -> bool {
        let calls = self.taken + self.refused;
        calls >= MIN_CALLS && self.taken < calls * PROBE_SHARE
    }

    fn decay(&mut self, factor: f64) {
        self.taken *= factor;
        self.refused *= factor;
    }
}

/// The least critical class that a back end still takes, for the entry nodes (DAGOR, SoCC 2018).
///
/// The level rises at once, by as many classes as are starved, and falls by one class for each
/// interval in which the classes above it met neither refusals nor a long delay.
#[derive(Debug, Clone)]
pub struct AdmissionThreshold {
    settings: ThresholdSettings,
    counts: [ClassCount; Criticality::ALL.len()],
    level: usize,
    congested_at: Option<Instant>,
    changed_at: Option<Instant>,
    ticked_at: Option<Instant>,
    congested: bool,
}

impl AdmissionThreshold {
    /// A level that admits every class.
    #[must_use]
    pub fn new(settings: ThresholdSettings) -> Self {
        Self {
            settings,
            counts: Default::default(),
            level: 0,
            congested_at: None,
            changed_at: None,
            ticked_at: None,
            congested: false,
        }
    }

    /// Counts a call that got a slot after waiting for `delay`.
    pub fn record_taken(&mut self, criticality: Criticality, delay: Duration) {
        self.counts[criticality.index()].taken += 1.0;
        let admitted = criticality.index() >= self.level;
        self.congested |= admitted && delay > self.settings.target_delay;
    }

    /// Counts a call that was refused, displaced or shed, or that expired in the queue.
    pub fn record_refused(&mut self, criticality: Criticality) {
        self.counts[criticality.index()].refused += 1.0;
        self.congested |= criticality.index() >= self.level;
    }

    /// The least critical class that is admitted; `None` when hardly any call gets a slot.
    #[must_use]
    pub fn admitted_from(&self) -> Option<Criticality> {
        Criticality::ALL.get(self.level).copied()
    }

    /// Computes the level.
    pub fn tick(&mut self, now: Instant) {
        if std::mem::take(&mut self.congested) {
            self.congested_at = Some(now);
        }
        if !self.rise(now) {
            self.fall(now);
        }
        self.decay(now);
    }

    /// Raises the level above every starved class that has no class below it that is served.
    fn rise(&mut self, now: Instant) -> bool {
        let before = self.level;
        while self
            .counts
            .get(self.level)
            .is_some_and(|count| count.is_starved())
        {
            self.level += 1;
        }
        let risen = self.level > before;
        if risen {
            self.changed_at = Some(now);
        }
        risen
    }

    /// Lowers the level by one class after a quiet interval.
    fn fall(&mut self, now: Instant) {
        let quiet = [self.congested_at, self.changed_at]
            .into_iter()
            .flatten()
            .all(|at| now.saturating_duration_since(at) >= self.settings.interval);
        if self.level == 0 || !quiet {
            return;
        }
        self.level -= 1;
        self.counts[self.level] = ClassCount::default();
        self.changed_at = Some(now);
    }

    fn decay(&mut self, now: Instant) {
        let last = self.ticked_at.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(last).as_secs_f64();
        let factor = (-elapsed / self.settings.interval.as_secs_f64()).exp();
        for count in &mut self.counts {
            count.decay(factor);
        }
    }
}
