//! Health state of an endpoint: ejection, probing and ramp.
//!
//! Ejection follows Envoy's outlier detection: consecutive failures eject an endpoint, each
//! ejection lasts longer than the one before, and the share of ejected endpoints is bounded. The
//! ramp follows Envoy's slow start mode.

use std::time::{Duration, Instant};

use crate::{EndpointState, RoutingSettings};

/// Keeps the shift that computes the ejection time from overflowing.
const MAX_EJECTION_DOUBLINGS: u32 = 16;

/// An exponent above 1 gives an endpoint little traffic at first, while faults that take time to
/// appear can still show.
const RAMP_EXPONENT: i32 = 2;

#[derive(Debug, Clone, Copy)]
enum Phase {
    Serving,
    Ramping { since: Instant, window: Duration },
    Ejected { until: Instant },
    Probing { since: Instant, answered: u32 },
}

/// Health of one endpoint, derived from the results of this node's attempts.
#[derive(Debug, Clone, Copy)]
pub struct Health {
    phase: Phase,
    consecutive_failures: u32,
    ejections: u32,
    assessed_since: Option<Instant>,
}

impl Health {
    /// Creates the health of a new endpoint, which starts with the cold-start ramp.
    #[must_use]
    pub fn new(settings: &RoutingSettings, now: Instant) -> Self {
        Self {
            phase: Phase::Ramping {
                since: now,
                window: settings.cold_start_ramp,
            },
            consecutive_failures: 0,
            ejections: 0,
            assessed_since: None,
        }
    }

    /// Returns the phase as a status page shows it.
    #[must_use]
    pub fn state(&self) -> EndpointState {
        match self.phase {
            Phase::Serving => EndpointState::Serving,
            Phase::Ramping { .. } => EndpointState::Ramping,
            Phase::Ejected { .. } => EndpointState::Ejected,
            Phase::Probing { .. } => EndpointState::Probing,
        }
    }

    /// Returns whether the endpoint is ejected and so gets no traffic.
    #[must_use]
    pub fn is_ejected(&self) -> bool {
        matches!(self.phase, Phase::Ejected { .. })
    }

    /// Returns when the current probing phase started, or `None` in any other phase.
    #[must_use]
    pub fn probing_since(&self) -> Option<Instant> {
        match self.phase {
            Phase::Probing { since, .. } => Some(since),
            _ => None,
        }
    }

    /// Returns when the endpoint was last ejected or started to be probed, or `None` if neither has
    /// happened. Attempts that started earlier no longer affect its health.
    #[must_use]
    pub fn assessed_since(&self) -> Option<Instant> {
        self.assessed_since
    }

    /// Returns whether the endpoint has been ejected and has not yet returned to full traffic.
    #[must_use]
    pub fn is_recovering(&self) -> bool {
        self.ejections > 0
    }

    /// Returns the fraction of its normal traffic that the endpoint gets at `now`, from 0 to 1.
    #[must_use]
    pub fn traffic_share(&self, settings: &RoutingSettings, now: Instant) -> f64 {
        match self.phase {
            Phase::Serving | Phase::Probing { .. } => 1.0,
            Phase::Ejected { .. } => 0.0,
            Phase::Ramping { since, window } => {
                let elapsed = now.saturating_duration_since(since).as_secs_f64();
                let progress = (elapsed / window.as_secs_f64()).min(1.0);
                settings.ramp_floor + (1.0 - settings.ramp_floor) * progress.powi(RAMP_EXPONENT)
            }
        }
    }

    /// Records an answer and starts the ramp once enough probes in a row are answered.
    pub fn record_answer(&mut self, settings: &RoutingSettings, now: Instant) {
        self.consecutive_failures = 0;
        let Phase::Probing { answered, .. } = &mut self.phase else {
            return;
        };
        *answered += 1;
        if *answered >= settings.probes {
            self.phase = Phase::Ramping {
                since: now,
                window: settings.recovery_ramp,
            };
        }
    }

    /// Records a failed attempt.
    pub fn record_failure(&mut self) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
    }

    /// Records a refusal, which counts only while probing. An endpoint that refuses a probe because
    /// it is full is alive, so the refusal counts as an answer. A refusal despite free capacity
    /// counts as a failure.
    pub fn record_refusal(&mut self, has_room: bool, settings: &RoutingSettings, now: Instant) {
        if self.probing_since().is_none() {
            return;
        }
        if has_room {
            self.record_failure();
        } else {
            self.record_answer(settings, now);
        }
    }

    /// Returns whether consecutive failures require an ejection. A single failure is enough while
    /// probing.
    #[must_use]
    pub fn has_reached_failure_limit(&self, settings: &RoutingSettings) -> bool {
        match self.phase {
            Phase::Probing { .. } => self.consecutive_failures > 0,
            Phase::Ejected { .. } => false,
            _ => self.consecutive_failures >= settings.consecutive_failures,
        }
    }

    /// Ejects the endpoint for a time that doubles with each ejection in a row.
    pub fn eject(&mut self, settings: &RoutingSettings, now: Instant) {
        let doublings = self.ejections.min(MAX_EJECTION_DOUBLINGS);
        let duration = settings
            .ejection_time
            .saturating_mul(1 << doublings)
            .min(settings.ejection_time_limit);
        self.phase = Phase::Ejected {
            until: now + duration,
        };
        self.ejections = self.ejections.saturating_add(1);
        self.assessed_since = Some(now);
        self.consecutive_failures = 0;
    }

    /// Starts probing, in which the endpoint gets one attempt at a time until enough are answered.
    /// Attempts that started earlier no longer affect its health.
    pub fn start_probing(&mut self, now: Instant) {
        self.phase = Phase::Probing {
            since: now,
            answered: 0,
        };
        self.consecutive_failures = 0;
        self.assessed_since = Some(now);
    }

    /// Enters the next phase if the current one has expired. Returns whether the endpoint started
    /// probing.
    pub fn advance(&mut self, now: Instant) -> bool {
        match self.phase {
            Phase::Ejected { until } if now >= until => {
                self.start_probing(now);
                true
            }
            Phase::Ramping { since, window } if now.saturating_duration_since(since) >= window => {
                self.phase = Phase::Serving;
                self.ejections = 0;
                false
            }
            _ => false,
        }
    }
}
