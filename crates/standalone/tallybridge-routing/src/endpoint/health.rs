//! Whether an endpoint gets traffic: ejection, probing and ramp.
//!
//! Ejection follows Envoy's outlier detection (consecutive failures, ejection time that grows with
//! each ejection, bounded share of ejected hosts); the ramp follows its slow start mode.

use std::time::{Duration, Instant};

use crate::{EndpointState, RoutingSettings};

/// Doublings after which the ejection time stays within any sensible limit.
const MOST_DOUBLINGS: u32 = 16;

/// Power of the elapsed time that a ramp grows with: slow at first, while faults that show only after
/// a time can still be seen.
const RAMP_POWER: i32 = 2;

#[derive(Debug, Clone, Copy)]
enum Phase {
    Serving,
    Ramping { since: Instant, window: Duration },
    Ejected { until: Instant },
    Probing { since: Instant, answered: u32 },
}

/// Health of one endpoint by what was observed of it.
#[derive(Debug, Clone, Copy)]
pub struct Health {
    phase: Phase,
    consecutive_failures: u32,
    ejections: u32,
    judged_from: Option<Instant>,
}

impl Health {
    /// Health of an endpoint that has just appeared.
    #[must_use]
    pub fn cold(settings: &RoutingSettings, now: Instant) -> Self {
        Self {
            phase: Phase::Ramping {
                since: now,
                window: settings.cold_start_ramp,
            },
            consecutive_failures: 0,
            ejections: 0,
            judged_from: None,
        }
    }

    /// The phase as status pages show it.
    #[must_use]
    pub fn state(&self) -> EndpointState {
        match self.phase {
            Phase::Serving => EndpointState::Serving,
            Phase::Ramping { .. } => EndpointState::Ramping,
            Phase::Ejected { .. } => EndpointState::Ejected,
            Phase::Probing { .. } => EndpointState::Probing,
        }
    }

    /// Whether the endpoint gets no traffic.
    #[must_use]
    pub fn is_ejected(&self) -> bool {
        matches!(self.phase, Phase::Ejected { .. })
    }

    /// When probing began, while it lasts.
    #[must_use]
    pub fn probing_since(&self) -> Option<Instant> {
        match self.phase {
            Phase::Probing { since, .. } => Some(since),
            _ => None,
        }
    }

    /// When the endpoint was last ejected or began to be probed: attempts that started before no
    /// longer count.
    #[must_use]
    pub fn judged_from(&self) -> Option<Instant> {
        self.judged_from
    }

    /// Whether the endpoint was ejected and has not come back to full traffic since.
    #[must_use]
    pub fn is_recovering(&self) -> bool {
        self.ejections > 0
    }

    /// Share of its traffic that the endpoint gets now, 0 to 1.
    #[must_use]
    pub fn share(&self, settings: &RoutingSettings, now: Instant) -> f64 {
        match self.phase {
            Phase::Serving | Phase::Probing { .. } => 1.0,
            Phase::Ejected { .. } => 0.0,
            Phase::Ramping { since, window } => {
                let elapsed = now.saturating_duration_since(since).as_secs_f64();
                let progress = (elapsed / window.as_secs_f64()).min(1.0);
                settings.ramp_floor + (1.0 - settings.ramp_floor) * progress.powi(RAMP_POWER)
            }
        }
    }

    /// Counts an answer; as many in a row to probes as the settings ask for start the ramp.
    pub fn answered(&mut self, settings: &RoutingSettings, now: Instant) {
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

    /// Counts a failure.
    pub fn failed(&mut self) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
    }

    /// Counts a refusal. A probe that is refused for want of room shows that the endpoint is alive; one
    /// that is refused without shows that it is not well.
    pub fn refused(&mut self, has_room: bool, settings: &RoutingSettings, now: Instant) {
        if self.probing_since().is_none() {
            return;
        }
        if has_room {
            self.failed();
        } else {
            self.answered(settings, now);
        }
    }

    /// Whether failures in a row ask for an ejection; one is enough while probing.
    #[must_use]
    pub fn has_failed_out(&self, settings: &RoutingSettings) -> bool {
        match self.phase {
            Phase::Probing { .. } => self.consecutive_failures > 0,
            Phase::Ejected { .. } => false,
            _ => self.consecutive_failures >= settings.consecutive_failures,
        }
    }

    /// Takes the endpoint's traffic away for a time that doubles with each ejection in a row.
    pub fn eject(&mut self, settings: &RoutingSettings, now: Instant) {
        let doublings = self.ejections.min(MOST_DOUBLINGS);
        let time = settings
            .ejection_time
            .saturating_mul(1 << doublings)
            .min(settings.ejection_time_limit);
        self.phase = Phase::Ejected { until: now + time };
        self.ejections = self.ejections.saturating_add(1);
        self.judged_from = Some(now);
        self.consecutive_failures = 0;
    }

    /// Gives the endpoint one attempt at a time until enough are answered. What began before no
    /// longer counts against it.
    pub fn probe(&mut self, now: Instant) {
        self.phase = Phase::Probing {
            since: now,
            answered: 0,
        };
        self.consecutive_failures = 0;
        self.judged_from = Some(now);
    }

    /// Moves on to the next phase when its time has come; says whether it began to probe.
    pub fn advance(&mut self, now: Instant) -> bool {
        match self.phase {
            Phase::Ejected { until } if now >= until => {
                self.probe(now);
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
