//! What this node may send again to each service.

use std::{collections::HashMap, sync::Arc, time::Duration};

use tallybridge_limits::{Budget, BudgetSettings};
use tokio::time::Instant;

use crate::settings::RetrySettings;

/// Share of the fleet's ratio for repeats to services that make no calls of their own.
const SHARE_DEEPEST: f64 = 0.6;
/// Share for repeats to services that do. Such a repeat makes its calls again, and those count as
/// repeats of the services below: the shares of a chain add up.
const SHARE_ABOVE: f64 = 0.13;

/// Budgets of one service.
#[derive(Debug)]
struct ServiceBudgets {
    deepest: Budget,
    above: Budget,
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
    pub fn sent(&mut self, service: &Arc<str>, now: Instant) {
        let budgets = self.budgets(service);
        budgets.deepest.deposit(now.into_std());
        budgets.above.deposit(now.into_std());
    }

    /// Pays for a repeat to a service; `false` when it must not be sent.
    #[must_use]
    pub fn pay(&mut self, service: &Arc<str>, calls_others: bool, now: Instant) -> bool {
        let budgets = self.budgets(service);
        if calls_others {
            budgets.above.withdraw(now.into_std())
        } else {
            budgets.deepest.withdraw(now.into_std())
        }
    }

    fn budgets(&mut self, service: &Arc<str>) -> &mut ServiceBudgets {
        let settings = self.settings;
        self.services
            .entry(service.clone())
            .or_insert_with(|| ServiceBudgets {
                deepest: budget(settings, SHARE_DEEPEST),
                above: budget(settings, SHARE_ABOVE),
            })
    }
}

fn budget(settings: RetrySettings, share: f64) -> Budget {
    Budget::new(BudgetSettings {
        ratio: settings.ratio * share,
        min_per_second: 0,
        ttl: Duration::from_millis(settings.window_ms),
    })
}
