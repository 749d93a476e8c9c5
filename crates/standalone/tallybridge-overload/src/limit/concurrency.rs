//! The adaptive concurrency limit of one back end.

use std::time::Instant;

use super::control::{Control, Observation};
use super::kinds::KindWeights;
use super::ramp::Ramp;
use super::sample::Sample;
use super::settings::LimitSettings;
use super::window::Window;

/// A limit on the concurrent calls of one back end that adapts to the observed latency.
///
/// Acquiring a slot takes O(1), releasing it O(log kinds). A tick that closes a sample window takes
/// O(n log m) for n kinds in the window and m known kinds.
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
    /// Creates a limit of `settings.initial` calls.
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

    /// Scales the limit by the share of `ramp` from `now` until the ramp is complete.
    pub fn start_ramp(&mut self, ramp: Ramp, now: Instant) {
        self.ramp_share = ramp.share(now);
        self.ramp = Some(ramp);
    }

    /// Returns the number of calls that may be in flight, including the effect of a ramp.
    #[must_use]
    pub fn limit(&self) -> u16 {
        let ramped_limit = (self.limit * self.ramp_share).round() as u16;
        ramped_limit.clamp(self.settings.min.max(1), self.settings.max.max(1))
    }

    /// Returns the number of acquired slots.
    #[must_use]
    pub fn in_flight(&self) -> u16 {
        self.in_flight
    }

    /// Acquires a slot, or returns `false` when the limit is reached.
    pub fn try_acquire(&mut self) -> bool {
        let limit = self.limit();
        if self.in_flight >= limit {
            self.window.record_at_limit();
            return false;
        }
        self.in_flight += 1;
        if self.in_flight >= limit {
            self.window.record_at_limit();
        }
        true
    }

    /// Releases the slot of a finished call and records its sample.
    pub fn release(&mut self, sample: Sample, now: Instant) {
        self.window.add_running_time(self.in_flight, now);
        let unloaded_seconds = self.unloaded_latency_seconds(sample.kind);
        self.window.record(sample, unloaded_seconds, now);
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Adapts the limit when the current window has enough samples.
    pub fn tick(&mut self, now: Instant) {
        self.advance_ramp(now);
        self.window.add_running_time(self.in_flight, now);
        if !self
            .window
            .is_complete(self.limit(), self.control.is_probing(), now)
        {
            return;
        }
        let previous_limit = self.limit();
        let observation = self.observe(now);
        let new_limit = self.control.decide(self.limit, observation, now);
        self.limit = new_limit.clamp(
            f64::from(self.settings.min.max(1)),
            f64::from(self.settings.max.max(1)),
        );
        let has_changed = self.limit() != previous_limit;
        self.window = Window::skipping(if has_changed { self.in_flight } else { 0 });
    }

    fn advance_ramp(&mut self, now: Instant) {
        let Some(ramp) = self.ramp else { return };
        self.ramp_share = ramp.share(now);
        if ramp.is_complete(now) {
            self.ramp = None;
        }
    }

    /// Returns the latency of a call of `kind` at a back end without a queue, if known.
    fn unloaded_latency_seconds(&self, kind: u16) -> Option<f64> {
        Some(self.control.baseline()? * self.weights.weight(kind)?)
    }

    fn observe(&mut self, now: Instant) -> Observation {
        let latency = self.weights.normalized_latency(self.window.totals());
        if let Some(latency) = latency {
            self.weights.update(self.window.totals(), latency);
        }
        Observation {
            latency,
            shed_share: self.window.shed_share(),
            timeout_share: self.window.timeout_share(),
            success_rate: self.window.success_rate(now),
            completion_rate: self.window.completion_rate(now),
            concurrency: self.window.concurrency(now),
            was_at_limit: self.window.was_at_limit(),
        }
    }
}
