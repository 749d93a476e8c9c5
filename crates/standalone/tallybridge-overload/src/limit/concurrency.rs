//! The concurrency limit of one back end.

use std::time::Instant;

use super::control::{Control, Observation};
use super::kinds::KindWeights;
use super::ramp::Ramp;
use super::sample::Sample;
use super::settings::LimitSettings;
use super::window::Window;

/// How many calls a back end may run at once, found from observed latency.
///
/// Acquiring is O(1), releasing O(log kinds), and a tick that closes a window O(kinds of the
/// window).
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    settings: LimitSettings,
    limit: f64,
    in_flight: u16,
    window: Window,
    weights: KindWeights,
    control: Control,
    ramp: Option<Ramp>,
    ramp_share: f64,
}

impl ConcurrencyLimit {
    /// A limit at `settings.initial`.
    #[must_use]
    pub fn new(settings: LimitSettings) -> Self {
        Self {
            settings,
            limit: f64::from(settings.initial),
            in_flight: 0,
            window: Window::default(),
            weights: KindWeights::default(),
            control: Control::default(),
            ramp: None,
            ramp_share: 1.0,
        }
    }

    /// Opens the limit along `ramp`, from `now` on.
    pub fn start_ramp(&mut self, ramp: Ramp, now: Instant) {
        self.ramp_share = ramp.share(now);
        self.ramp = Some(ramp);
    }

    /// Calls that may be in flight.
    #[must_use]
    pub fn limit(&self) -> u16 {
        let open = (self.limit * self.ramp_share).round() as u16;
        open.clamp(self.settings.min.max(1), self.settings.max.max(1))
    }

    /// Calls that are in flight.
    #[must_use]
    pub fn in_flight(&self) -> u16 {
        self.in_flight
    }

    /// Takes a slot if one is free.
    pub fn try_acquire(&mut self) -> bool {
        let limit = self.limit();
        if self.in_flight >= limit {
            self.window.note_at_limit();
            return false;
        }
        self.in_flight += 1;
        if self.in_flight >= limit {
            self.window.note_at_limit();
        }
        true
    }

    /// Gives back the slot of a call that ended as `sample` says.
    pub fn release(&mut self, sample: Sample, now: Instant) {
        self.window.pass(self.in_flight, now);
        let natural = self.natural_latency(sample.kind);
        self.window.record(sample, natural, now);
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Adapts the limit if enough calls ended since it was last adapted.
    pub fn tick(&mut self, now: Instant) {
        self.advance_ramp(now);
        self.window.pass(self.in_flight, now);
        if !self
            .window
            .is_complete(self.limit(), self.control.is_probing(), now)
        {
            return;
        }
        let before = self.limit();
        let seen = self.observe(now);
        let decided = self.control.decide(self.limit, seen, now);
        self.limit = decided.clamp(
            f64::from(self.settings.min.max(1)),
            f64::from(self.settings.max.max(1)),
        );
        let changed = self.limit() != before;
        self.window = Window::after_change(if changed { self.in_flight } else { 0 });
    }

    fn advance_ramp(&mut self, now: Instant) {
        let Some(ramp) = self.ramp else { return };
        self.ramp_share = ramp.share(now);
        if ramp.is_over(now) {
            self.ramp = None;
        }
    }

    /// What a call of `kind` takes in seconds when the back end queues nothing, if known.
    fn natural_latency(&self, kind: u16) -> Option<f64> {
        Some(self.control.baseline()? * self.weights.weight(kind)?)
    }

    fn observe(&mut self, now: Instant) -> Observation {
        let level = self.weights.level(self.window.totals());
        if let Some(level) = level {
            self.weights.learn(self.window.totals(), level);
        }
        Observation {
            level,
            shed_share: self.window.shed_share(),
            timeout_share: self.window.timeout_share(),
            success_rate: self.window.success_rate(now),
            completion_rate: self.window.completion_rate(now),
            concurrency: self.window.concurrency(now),
            was_at_limit: self.window.was_at_limit(),
        }
    }
}
