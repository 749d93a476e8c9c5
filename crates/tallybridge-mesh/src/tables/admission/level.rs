//! The admission level of a service: how much of the requests that need it is admitted.
//!
//! **Rule.** A level moves each tick towards *mean of the levels in the last 1.2 s x target / work
//! offered*, so that the service is offered [`TARGET`] times what it can do; a request of a weight is
//! admitted with the share *level x weight*.
//!
//! **Inputs.** [`ServicePressure`] of the service: offered work and calls, as multiples of what the
//! slots in use can do, summed over its back ends. Age as in [`super`].
//!
//! **Output.** [`AdmissionLevel::share`], 0 to 1, and [`AdmissionLevel::shedding_change`] for the log.
//!
//! **Why.** The calls of a request reach a deep service over the next second, so the work offered now
//! was caused by earlier levels, and is referred to their mean and not to the one level of 0.6 s ago.
//! Measured and not better: a level bounded where the first request would be shed with a backlog that
//! counts more, and a brake that admits less at once on long queues, which swings on the simulated
//! chain (`docs/DECISIONS.md`).
//!
//! At a restart levels start open, and take some 3 s to fall to a tenth under an overload.

use std::collections::VecDeque;

use super::weights::LEAST_WEIGHT;

/// Work offered to a service that its level seeks, as a multiple of what it can do. On a recorded day
/// of overload 0.95, 1.05 and 1.15 gave 0.533, 0.567 and 0.577 of the value of its requests, one run
/// each; 1.05 and 1.1 gave less on one of two other sites (`docs/DECISIONS.md`).
const TARGET: f64 = 1.15;
/// Calls that run or wait, as a multiple of the limit, from which the excess counts as a backlog that
/// is to be worked off. Origin not recorded.
const BACKLOG_FROM: f64 = 1.15;
/// Part of such a backlog that counts as work offered. Origin not recorded; counting more shed in
/// short overloads what the queue would have held (`docs/DECISIONS.md`).
const BACKLOG_GAIN: f64 = 0.25;
/// Least and most that counts as work offered, as a multiple of what the service can do: bounds how
/// far a single tick changes the level. Origin of the figures not recorded.
const OFFERED: [f64; 2] = [0.4, 3.0];
/// Ticks of 100 ms over which levels are averaged: 1.2 s, in which the calls of a request reach a
/// service deep down and its load is reported back. Origin of the figure not recorded.
const LAG_TICKS: usize = 12;
/// Part of the way to the level sought, on a logarithmic scale, that a level goes up in a tick. Lower
/// than [`STEP_DOWN`]: too much admitted wastes work already done for it, too little is refused
/// before it ran. Origin of the figure not recorded.
const STEP_UP: f64 = 0.2;
/// The same downwards. Origin of the figure not recorded.
const STEP_DOWN: f64 = 0.35;
/// Lowest level: enough requests to see whether there is room again. Origin of the figure not
/// recorded.
const LOWEST: f64 = 0.01;
/// Level at which every request is admitted, whatever its weight.
const OPEN: f64 = 1.0 / LEAST_WEIGHT;
/// Share of the requests of least weight below which the log says that requests are shed; it says
/// that none is once all are admitted again. Decides nothing else. Origin not recorded.
const SHEDS_BELOW: f64 = 0.7;
/// Highest level while a service that had back ends has none, and so the level at which it starts
/// when one is back. Origin of the figure not recorded.
const LEVEL_AFTER_OUTAGE: f64 = 0.3;

/// How busy a service is.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct ServicePressure {
    /// Work that arrives as a multiple of what the service can do, what it refuses included.
    pub(super) offered: f64,
    /// Calls that run or wait, as a multiple of the slots in use.
    pub(super) fullness: f64,
}

/// The level of one service, shared by all routes that need it.
#[derive(Debug, Clone)]
pub(super) struct AdmissionLevel {
    level: f64,
    /// Levels of the last ticks, the oldest first.
    earlier: VecDeque<f64>,
    /// Whether requests are shed for the service, as logged last.
    sheds: bool,
    /// Whether a back end of the service took work since the node started. Before that the node may
    /// just not have found it yet, which is no outage.
    was_available: bool,
}

impl Default for AdmissionLevel {
    fn default() -> Self {
        Self {
            level: OPEN,
            earlier: VecDeque::new(),
            sheds: false,
            was_available: false,
        }
    }
}

impl AdmissionLevel {
    /// The share of requests of a weight that is admitted, 0 to 1.
    pub(super) fn share(&self, weight: f64) -> f64 {
        (self.level * weight).min(1.0)
    }

    /// Adapts to how busy the service is; `None` while no back end of it takes work. Called once each
    /// tick.
    pub(super) fn adapt(&mut self, pressure: Option<ServicePressure>) {
        let Some(pressure) = pressure else {
            self.note_outage();
            return;
        };
        self.was_available = true;
        let sought = self.mean_of_earlier() * TARGET / offered_work(pressure);
        self.earlier.push_back(self.level);
        if self.earlier.len() > LAG_TICKS {
            self.earlier.pop_front();
        }
        let step = if sought > self.level {
            STEP_UP
        } else {
            STEP_DOWN
        };
        let next = self.level * (sought / self.level).powf(step);
        self.level = next.clamp(LOWEST, OPEN);
    }

    fn note_outage(&mut self) {
        if self.was_available {
            self.level = self.level.min(LEVEL_AFTER_OUTAGE);
        }
        self.earlier.clear();
    }

    /// Whether shedding for the service has begun (`true`) or ended (`false`) since the last call;
    /// `None` when neither has.
    pub(super) fn shedding_change(&mut self) -> Option<bool> {
        let share = self.share(LEAST_WEIGHT);
        let sheds = if self.sheds {
            share < 1.0
        } else {
            share < SHEDS_BELOW
        };
        (std::mem::replace(&mut self.sheds, sheds) != sheds).then_some(sheds)
    }

    fn mean_of_earlier(&self) -> f64 {
        if self.earlier.is_empty() {
            return self.level;
        }
        self.earlier.iter().sum::<f64>() / self.earlier.len() as f64
    }
}

/// Work that counts as offered to a service, as a multiple of what it can do.
fn offered_work(pressure: ServicePressure) -> f64 {
    let backlog = (pressure.fullness - BACKLOG_FROM).max(0.0) * BACKLOG_GAIN;
    (pressure.offered + backlog).clamp(OFFERED[0], OFFERED[1])
}
