//! How much of what needs a service is let in.

use std::collections::VecDeque;

/// Weight of the requests of each priority: what is let in of two priorities keeps this proportion
/// once both are shed. The most urgent are let in whole until two thirds of the rest are shed, and
/// the rest never starves behind them, whatever fraction of a service is left.
const PRIORITY_WEIGHT: [f64; 3] = [3.0, 1.74, 1.0];
/// Weight of a tenant against one of the next priority: above the ratio of the greatest weight of a
/// route to the least.
const TENANT_WEIGHT: f64 = 5.4;
/// Least weight that a costly route keeps against the cheapest one of its priority. The weights of
/// two priorities differ by more, so that urgent requests stay ahead of all others.
const LEAST_COST_WEIGHT: f64 = 0.58;
/// Work that a service is offered, as a share of what it can do, that levels lead to.
const TARGET: f64 = 1.15;
/// Calls, as a multiple of the limit, from which a queue is to be worked off.
const BACKLOG_FROM: f64 = 1.15;
/// Part of such a backlog that counts as offered besides.
const BACKLOG_GAIN: f64 = 0.25;
/// Bounds of what counts as offered: a single look changes the level by no more.
const OFFERED: [f64; 2] = [0.4, 3.0];
/// Looks over which the calls of a request arrive at a service deep down and its load gets told:
/// 1.2 s of looks. What a service is offered now is due to the levels that were in force then.
const LAG_LOOKS: usize = 12;
/// Part of the way to the level that is sought which each look goes, upwards and downwards. What is
/// let in too much wastes work already done for it; what is let in too little is refused unrun.
const STEP: [f64; 2] = [0.2, 0.35];
/// Lowest level: enough to see whether there is room again.
const LOWEST: f64 = 0.01;
/// Least weight of all requests.
const LEAST_WEIGHT: f64 = PRIORITY_WEIGHT[2] * LEAST_COST_WEIGHT;
/// Level at which every request is let in, whatever its weight.
const OPEN: f64 = 1.0 / LEAST_WEIGHT;
/// Share of the requests of least weight below which the log says that some are shed.
const SHEDS_BELOW: f64 = 0.7;
/// Level after a time without any back end.
const LEVEL_AFTER_OUTAGE: f64 = 0.3;

/// How busy a service is.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServicePressure {
    /// Work that arrives as a share of what the service can do, what it refuses included.
    pub offered: f64,
    /// Calls that run or wait, as a multiple of the limit.
    pub fullness: f64,
}

/// The level of one service: a request of a weight is let in with the share `level * weight`.
///
/// All routes that need a service share its level, so what is let in of them keeps the proportion
/// of their weights, at any fraction of the service that is left.
#[derive(Debug, Clone)]
pub struct AdmissionLevel {
    level: f64,
    /// Levels of the looks before, the oldest first.
    earlier: VecDeque<f64>,
    /// Whether requests are shed for the service, as told last.
    sheds: bool,
    /// Whether a back end of the service took work since the node started. Before that the node
    /// does not know it yet, and there may be no overload at all.
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
    /// The share of requests of a weight that is let in.
    #[must_use]
    pub fn share(&self, weight: f64) -> f64 {
        (self.level * weight).min(1.0)
    }

    /// Adapts to how busy the service is; `None` while no back end of it takes work.
    pub fn adapt(&mut self, pressure: Option<ServicePressure>) {
        let Some(pressure) = pressure else {
            if self.was_available {
                self.level = self.level.min(LEVEL_AFTER_OUTAGE);
            }
            self.earlier.clear();
            return;
        };
        self.was_available = true;
        let backlog = (pressure.fullness - BACKLOG_FROM).max(0.0) * BACKLOG_GAIN;
        let offered = (pressure.offered + backlog).clamp(OFFERED[0], OFFERED[1]);
        let sought = self.mean_of_earlier() * TARGET / offered;
        self.earlier.push_back(self.level);
        if self.earlier.len() > LAG_LOOKS {
            self.earlier.pop_front();
        }
        let step = if sought > self.level {
            STEP[0]
        } else {
            STEP[1]
        };
        let next = self.level * (sought / self.level).powf(step);
        self.level = next.clamp(LOWEST, OPEN);
    }

    /// Whether shedding for the service has begun (`true`) or ended (`false`) since it was asked
    /// last; `None` when neither has.
    pub fn shedding_change(&mut self) -> Option<bool> {
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

/// What the weight of a request is multiplied by, for each priority of tenants that comes after its
/// tenant's: the least of its requests goes before the most urgent one of theirs.
#[must_use]
pub fn tenant_weight(tenants_after: u8) -> f64 {
    TENANT_WEIGHT.powi(tenants_after.into())
}

/// The weight of a request of a priority that costs a service `cost`, where the cheapest one of its
/// priority costs `cheapest`. A costly request frees more when it is refused: more requests are
/// served if it is shed first.
#[must_use]
pub fn weight(priority: u8, cost: f64, cheapest: f64) -> f64 {
    let of_priority = PRIORITY_WEIGHT[usize::from(priority.min(2))];
    if cost <= 0.0 {
        return of_priority;
    }
    let of_cost = (cheapest / cost).sqrt().clamp(LEAST_COST_WEIGHT, 1.0);
    of_priority * of_cost
}
