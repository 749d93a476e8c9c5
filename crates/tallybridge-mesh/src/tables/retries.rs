//! What this node may send again to each service.
//!
//! Over the fleet the arrivals at a service beyond the first of each request stay within a ratio of
//! the requests for it. Each node keeps to that ratio of what it sent itself, so that nothing need be
//! told. A run that is a repeat makes its calls anew, and these count as repeats of the services
//! below, so calls carry whether a run above them is one: whoever sends such a call charges it to its
//! own budget. The repeats of a whole chain thus stay within the ratio at each of its services,
//! however deep it is.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::{clock::BootInstant, settings::RetrySettings};
use tallybridge_limits::{Budget, BudgetSettings};

/// Part of the fleet's ratio for repeats to services that make no calls of their own, where a repeat
/// is cheapest. The rest covers calls that are sent and never arrive, which earn and don't count.
const PART_DEEPEST: f64 = 0.9;
/// Part for repeats to services that do. Each such repeat takes what all its calls cost from the
/// services below.
const PART_ABOVE: f64 = 0.13;
/// Most of a budget that is left to urgent calls while others ask for it. Where a whole service turns
/// away half of its calls there is not enough for all. Shared alike, it was used up by reads with twice
/// as many calls, for next to no answer: the worst seconds of such a time earned 0.14 of what they
/// could, and 0.27 with this (82 machines, one play each).
const MOST_LEFT: f64 = 0.9;
/// Weight of the newest first sending in the repeats that urgent calls ask for. A node deep in a chain
/// sends some two thousand calls a second and so sees a change within a quarter of one.
const ASKED_GAIN: f64 = 0.002;

/// A call that is to be sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryRequest {
    /// Whether its service makes calls of its own.
    pub calls_others: bool,
    /// Whether the request at the root of its chain is of the highest priority.
    pub is_urgent: bool,
}

/// A call that is sent for the first time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FirstAttempt {
    /// Whether a run above it is a repeat.
    pub is_below_retry: bool,
}

/// Budgets of one service.
#[derive(Debug)]
struct ServiceBudgets {
    deepest: Budget,
    above: Budget,
    /// Repeats that urgent calls ask for, paid or not, for each first sending of any call.
    urgent_asked: f64,
    /// Repeats that each first sending allows.
    ratio: f64,
}

/// A budget for each service, in proportion to this node's own first sendings.
#[derive(Debug)]
pub struct RetryBudgets {
    settings: RetrySettings,
    services: HashMap<Arc<str>, ServiceBudgets>,
}

impl RetryBudgets {
    /// Budgets within the bounds of the fleet.
    #[must_use]
    pub fn new(settings: RetrySettings) -> Self {
        Self {
            settings,
            services: HashMap::new(),
        }
    }

    /// Changes the bounds. What was counted is forgotten where they differ.
    pub fn set(&mut self, settings: RetrySettings) {
        if settings != self.settings {
            self.settings = settings;
            self.services.clear();
        }
    }

    /// Counts a first sending.
    pub fn sent(&mut self, service: &Arc<str>, sending: FirstAttempt, now: BootInstant) {
        let budgets = self.budgets(service);
        let now = now.into_std();
        budgets.deepest.deposit(now);
        budgets.above.deposit(now);
        if sending.is_below_retry {
            budgets.charge(now);
        }
        budgets.urgent_asked *= 1.0 - ASKED_GAIN;
    }

    /// Pays for a repeat to a service; `false` when it must not be sent.
    #[must_use]
    pub fn pay(&mut self, service: &Arc<str>, repeat: RetryRequest, now: BootInstant) -> bool {
        let budgets = self.budgets(service);
        let now = now.into_std();
        let left = budgets.left_to_others(repeat);
        if repeat.is_urgent {
            budgets.urgent_asked += ASKED_GAIN;
        }
        let (used, other) = if repeat.calls_others {
            (&mut budgets.above, &mut budgets.deepest)
        } else {
            (&mut budgets.deepest, &mut budgets.above)
        };
        let is_paid = used.withdraw_above(left, now);
        if is_paid {
            other.charge(now);
        }
        is_paid
    }

    fn budgets(&mut self, service: &Arc<str>) -> &mut ServiceBudgets {
        let settings = self.settings;
        self.services
            .entry(service.clone())
            .or_insert_with(|| ServiceBudgets {
                deepest: budget(settings, PART_DEEPEST),
                above: budget(settings, PART_ABOVE),
                urgent_asked: 0.0,
                ratio: settings.ratio * PART_DEEPEST,
            })
    }
}

impl ServiceBudgets {
    /// Part of a budget that a repeat must leave.
    fn left_to_others(&self, repeat: RetryRequest) -> f64 {
        if repeat.is_urgent {
            return 0.0;
        }
        (self.urgent_asked / self.ratio.max(f64::MIN_POSITIVE)).min(MOST_LEFT)
    }

    fn charge(&mut self, now: std::time::Instant) {
        self.deepest.charge(now);
        self.above.charge(now);
    }
}

fn budget(settings: RetrySettings, part: f64) -> Budget {
    Budget::new(BudgetSettings {
        ratio: settings.ratio * part,
        min_per_second: 0,
        ttl: Duration::from_millis(settings.window_ms),
    })
}
