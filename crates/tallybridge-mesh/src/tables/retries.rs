//! Retry budgets: how many retries this node may send to each service.
//!
//! Over a window of `window_ms`, the retries that a node sends to a service stay below a ratio of
//! the first attempts that it sends there. If every node keeps its own bound, the whole fleet does,
//! without any exchange between nodes. A node that sends few attempts is due a fraction of a retry,
//! which it rounds up or down at random, so that many such nodes together send as many retries as
//! the ratio allows. Calls of requests with the highest priority are urgent; other retries must
//! leave them as much of the budget as they need.
//!
//! A retry repeats its nested calls, which are retries for the services further down. Calls carry
//! this fact, and the sender of such a nested call charges the call to its own budget. Each service
//! of a chain thus stays within the ratio at any depth. Retries to services that make calls
//! themselves are the costly ones and get only a small part of the ratio; nodes report whether
//! their service makes calls.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::{clock::BootInstant, settings::RetrySettings};
use tallybridge_limits::{Budget, BudgetSettings};

/// Share of the ratio for retries to services that make no calls. Less than 1, because calls that
/// never arrive count as first attempts here but not at the service.
const LEAF_SHARE: f64 = 0.9;
/// Share of the ratio for retries to services that make calls, each of which repeats all its nested
/// calls.
const INNER_SHARE: f64 = 0.13;
/// Upper bound of the share of a budget that is reserved for urgent calls. Without a reserve, the
/// more numerous other calls would use up the budget of an overloaded service.
const MAX_URGENT_RESERVE: f64 = 0.9;
/// Weight of the newest first attempt in the moving average of urgent demand.
const URGENT_DEMAND_SMOOTHING: f64 = 0.002;

/// A retry that needs a grant from the budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryRequest {
    /// Whether the called service makes calls itself.
    pub calls_others: bool,
    /// Whether the request at the root of the call chain has the highest priority.
    pub is_urgent: bool,
}

/// A call that is sent to its first executor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FirstAttempt {
    /// Whether an execution further up the call chain is a retry.
    pub is_below_retry: bool,
}

/// Budgets of one service. Each retry is counted in both, because the service may start or stop
/// making calls; the applicable one decides.
#[derive(Debug)]
struct ServiceBudgets {
    /// Applies while the service makes no calls.
    leaf: Budget,
    /// Applies while the service makes calls.
    inner: Budget,
    /// Retries that urgent calls request, granted or not, per first attempt of any call.
    urgent_demand: f64,
    /// Retries that each first attempt allows.
    ratio: f64,
}

/// Retry budgets by service, in proportion to the first attempts that this node sends.
#[derive(Debug)]
pub struct RetryBudgets {
    settings: RetrySettings,
    /// Fraction of a retry, 0 to 1, from which this node rounds up to a whole one.
    rounding: f64,
    services: HashMap<Arc<str>, ServiceBudgets>,
}

impl RetryBudgets {
    /// Creates empty budgets, which grant no retry before the first attempts are recorded.
    #[must_use]
    pub fn new(settings: RetrySettings) -> Self {
        Self::with_rounding(settings, rand::random())
    }

    /// Creates empty budgets that add `rounding`, between 0 and 1, to the retries that their first
    /// attempts allow, before they round them down.
    #[must_use]
    pub fn with_rounding(settings: RetrySettings, rounding: f64) -> Self {
        Self {
            settings,
            rounding,
            services: HashMap::new(),
        }
    }

    /// Replaces the settings. Empties all budgets if the settings differ.
    pub fn update_settings(&mut self, settings: RetrySettings) {
        if settings != self.settings {
            self.settings = settings;
            self.services.clear();
        }
    }

    /// Counts a first attempt, which adds to the budget of its service.
    pub fn record_first_attempt(
        &mut self,
        service: &Arc<str>,
        attempt: FirstAttempt,
        now: BootInstant,
    ) {
        let budgets = self.budgets(service);
        let now = now.into_std();
        budgets.leaf.deposit(now);
        budgets.inner.deposit(now);
        if attempt.is_below_retry {
            budgets.leaf.charge(now);
            budgets.inner.charge(now);
        }
        budgets.urgent_demand *= 1.0 - URGENT_DEMAND_SMOOTHING;
    }

    /// Withdraws a retry from the budget of a service. Returns `false` if the retry must not be
    /// sent.
    #[must_use]
    pub fn withdraw(&mut self, service: &Arc<str>, retry: RetryRequest, now: BootInstant) -> bool {
        let budgets = self.budgets(service);
        let now = now.into_std();
        let reserved = budgets.share_reserved_from(retry);
        if retry.is_urgent {
            budgets.urgent_demand += URGENT_DEMAND_SMOOTHING;
        }
        let (applicable, other) = if retry.calls_others {
            (&mut budgets.inner, &mut budgets.leaf)
        } else {
            (&mut budgets.leaf, &mut budgets.inner)
        };
        let is_granted = applicable.withdraw_above(reserved, now);
        if is_granted {
            other.charge(now);
        }
        is_granted
    }

    fn budgets(&mut self, service: &Arc<str>) -> &mut ServiceBudgets {
        let (settings, rounding) = (self.settings, self.rounding);
        self.services
            .entry(service.clone())
            .or_insert_with(|| ServiceBudgets::new(settings, rounding))
    }
}

impl ServiceBudgets {
    fn new(settings: RetrySettings, rounding: f64) -> Self {
        Self {
            leaf: new_budget(settings, LEAF_SHARE, rounding),
            inner: new_budget(settings, INNER_SHARE, rounding),
            urgent_demand: 0.0,
            ratio: settings.ratio * LEAF_SHARE,
        }
    }

    /// Returns the share of a budget, 0 to 1, that a retry must leave to urgent calls.
    fn share_reserved_from(&self, retry: RetryRequest) -> f64 {
        if retry.is_urgent {
            return 0.0;
        }
        (self.urgent_demand / self.ratio.max(f64::MIN_POSITIVE)).min(MAX_URGENT_RESERVE)
    }
}

fn new_budget(settings: RetrySettings, share: f64, rounding: f64) -> Budget {
    let settings = BudgetSettings {
        ratio: settings.ratio * share,
        min_per_second: 0,
        ttl: Duration::from_millis(settings.window_ms),
    };
    Budget::with_rounding(settings, rounding)
}
