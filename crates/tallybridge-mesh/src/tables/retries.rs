//! What this node may send again to each service.

use std::{collections::HashMap, sync::Arc, time::Duration};

use tallybridge_limits::{Budget, BudgetSettings};
use tokio::time::Instant;

use crate::settings::RetrySettings;

/// Share of the fleet's ratio that a node spends by itself. A repeat makes its calls again, and
/// those count as repeats of the services below, so each level gets by with a part of the ratio.
const OWN_SHARE: f64 = 0.3;

/// A budget for each service, in proportion to this node's own first sendings.
#[derive(Debug)]
pub struct RetryBudgets {
    settings: BudgetSettings,
    budgets: HashMap<Arc<str>, Budget>,
}

impl RetryBudgets {
    /// Budgets within the bounds of the fleet.
    #[must_use]
    pub fn new(settings: RetrySettings) -> Self {
        Self {
            settings: own_share(settings),
            budgets: HashMap::new(),
        }
    }

    /// Changes the bounds. What was counted is forgotten where they differ.
    pub fn set(&mut self, settings: RetrySettings) {
        let settings = own_share(settings);
        if settings != self.settings {
            self.settings = settings;
            self.budgets.clear();
        }
    }

    /// Counts a first sending.
    pub fn sent(&mut self, service: &Arc<str>, now: Instant) {
        self.budget(service).deposit(now.into_std());
    }

    /// Pays for a repeat; `false` when it must not be sent.
    #[must_use]
    pub fn pay(&mut self, service: &Arc<str>, now: Instant) -> bool {
        self.budget(service).withdraw(now.into_std())
    }

    fn budget(&mut self, service: &Arc<str>) -> &mut Budget {
        let settings = self.settings;
        self.budgets
            .entry(service.clone())
            .or_insert_with(|| Budget::new(settings))
    }
}

fn own_share(settings: RetrySettings) -> BudgetSettings {
    BudgetSettings {
        ratio: settings.ratio * OWN_SHARE,
        min_per_second: 0,
        ttl: Duration::from_millis(settings.window_ms),
    }
}
