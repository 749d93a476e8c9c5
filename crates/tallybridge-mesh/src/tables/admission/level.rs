//! The admission level of a service controls which share of the requests that need the service is
//! admitted.
//!
//! Each tick moves a level towards *mean level of the last 1.2 s x [`TARGET_LOAD`] / offered load*.
//! A request is admitted with the share *level x weight*. The input is the [`ServicePressure`] of
//! the service, summed over its back ends.
//!
//! The calls of a request reach a deep service over the next second, so the load offered now
//! results from the earlier levels. Comparing it with their mean rather than with the newest level
//! keeps the levels from oscillating.

use std::collections::VecDeque;

use super::weights::MIN_WEIGHT;

/// Offered load at which a level is steady, as a multiple of the capacity of the service. Targets of
/// 0.95 and 1.05 served fewer requests under overload.
const TARGET_LOAD: f64 = 1.15;
/// Running and waiting calls per slot above which the excess counts as a backlog.
const BACKLOG_MIN_FULLNESS: f64 = 1.15;
/// Factor by which a backlog adds to the offered load. A larger factor sheds requests in short
/// overloads that the queue could absorb.
const BACKLOG_FACTOR: f64 = 0.25;
/// Range to which the offered load is clamped, which limits how far one tick changes a level.
const OFFERED_LOAD_RANGE: [f64; 2] = [0.4, 3.0];
/// Number of 100 ms ticks over which levels are averaged: the time until calls of an admitted
/// request reach a deep service and its load is reported back.
const FEEDBACK_DELAY_TICKS: usize = 12;
/// Fraction of the logarithmic distance to the target that a level rises in a tick. It is smaller
/// than [`DECREASE_EXPONENT`] because admitting too much wastes work that is already done.
const INCREASE_EXPONENT: f64 = 0.2;
/// Fraction of the logarithmic distance to the target that a level falls in a tick.
const DECREASE_EXPONENT: f64 = 0.35;
/// Minimum level. It admits enough requests to detect that the service has capacity again.
const MIN_LEVEL: f64 = 0.01;
/// Level at which every request is admitted, whatever its weight.
const MAX_LEVEL: f64 = 1.0 / MIN_WEIGHT;
/// Admitted share of the requests of minimum weight below which the start of shedding is logged. It
/// affects only the log.
const SHEDDING_LOG_SHARE: f64 = 0.7;
/// Maximum level of a service that has lost all its back ends, and its level when a back end
/// returns.
const MAX_LEVEL_AFTER_OUTAGE: f64 = 0.3;

/// Load of one service relative to its capacity.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct ServicePressure {
    /// Offered load, refused calls included, as a multiple of the capacity of the service.
    pub(super) offered: f64,
    /// Running and waiting calls as a multiple of the slots in use.
    pub(super) fullness: f64,
}

/// Admission level of one service, shared by all routes that need it.
#[derive(Debug, Clone)]
pub(super) struct AdmissionLevel {
    level: f64,
    /// Levels of the last ticks, the oldest first.
    recent_levels: VecDeque<f64>,
    /// Whether the last logged change was the start of shedding.
    is_shedding: bool,
    /// Whether a back end of the service has accepted work since the node started. Before that, a
    /// missing back end may not have been discovered yet, so it does not count as an outage.
    has_been_available: bool,
}

impl Default for AdmissionLevel {
    fn default() -> Self {
        Self {
            level: MAX_LEVEL,
            recent_levels: VecDeque::new(),
            is_shedding: false,
            has_been_available: false,
        }
    }
}

impl AdmissionLevel {
    /// Returns the admitted share, 0 to 1, of requests of a weight.
    pub(super) fn share(&self, weight: f64) -> f64 {
        (self.level * weight).min(1.0)
    }

    /// Updates the level. Must be called once per tick; `pressure` is `None` while no back end
    /// accepts work.
    pub(super) fn adapt(&mut self, pressure: Option<ServicePressure>) {
        let Some(pressure) = pressure else {
            self.apply_outage();
            return;
        };
        self.has_been_available = true;
        let target = self.mean_recent_level() * TARGET_LOAD / effective_offered_load(pressure);
        self.recent_levels.push_back(self.level);
        if self.recent_levels.len() > FEEDBACK_DELAY_TICKS {
            self.recent_levels.pop_front();
        }
        let exponent = if target > self.level {
            INCREASE_EXPONENT
        } else {
            DECREASE_EXPONENT
        };
        let next = self.level * (target / self.level).powf(exponent);
        self.level = next.clamp(MIN_LEVEL, MAX_LEVEL);
    }

    fn apply_outage(&mut self) {
        if self.has_been_available {
            self.level = self.level.min(MAX_LEVEL_AFTER_OUTAGE);
        }
        self.recent_levels.clear();
    }

    /// Returns `Some(true)` if shedding started since the last call, `Some(false)` if it stopped,
    /// and `None` otherwise.
    pub(super) fn shedding_change(&mut self) -> Option<bool> {
        let share = self.share(MIN_WEIGHT);
        let is_shedding = if self.is_shedding {
            share < 1.0
        } else {
            share < SHEDDING_LOG_SHARE
        };
        (std::mem::replace(&mut self.is_shedding, is_shedding) != is_shedding)
            .then_some(is_shedding)
    }

    fn mean_recent_level(&self) -> f64 {
        if self.recent_levels.is_empty() {
            return self.level;
        }
        self.recent_levels.iter().sum::<f64>() / self.recent_levels.len() as f64
    }
}

/// Returns the offered load, including a part of the backlog, as a multiple of the capacity.
fn effective_offered_load(pressure: ServicePressure) -> f64 {
    let backlog = (pressure.fullness - BACKLOG_MIN_FULLNESS).max(0.0) * BACKLOG_FACTOR;
    (pressure.offered + backlog).clamp(OFFERED_LOAD_RANGE[0], OFFERED_LOAD_RANGE[1])
}
