//! Retry budgets: how many retries this node may send to each service.
//!
//! **Rule.** Over a window, the retries that a node sends to a service stay below a ratio of the first
//! attempts that it sends there. Services that make no calls of their own get nearly the whole ratio,
//! others a small part of it. A retry of a call that is not urgent must leave as much of the budget as
//! urgent calls ask for.
//!
//! **Inputs.** This node's own first attempts and retries of the last `window_ms` milliseconds, by
//! service, and which of the attempts stand below a retry further up; whether the service makes calls
//! of its own, as its nodes reported within the last seconds; whether the call is urgent; `ratio` and
//! `window_ms` of the settings.
//!
//! **Output.** Whether a retry is paid for. An unpaid one must not be sent.
//!
//! **Why.** The bound holds for the whole fleet if each node keeps it for what it sends itself, so that
//! nothing need be exchanged. A run that is a retry makes its nested calls anew, and these are retries
//! of the services below, so calls carry whether a run above them is a retry, and whoever sends such a
//! call charges it to its own budget. The retries of a whole chain thus stay within the ratio at each of
//! its services, however deep it is (`tests/retries.rs`, over random chains).
//!
//! **Constants.** Weighed in docs/design/shifted-work.md ("Decisions, two ways or more"): fixed shares
//! by level and budgets that urgent calls share alike with others lost.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::{clock::BootInstant, settings::RetrySettings};
use tallybridge_limits::{Budget, BudgetSettings};

/// Share of the ratio for retries to services that make no calls of their own, where a retry is
/// cheapest. The rest covers calls that are sent and never arrive, which count here as first
/// attempts and not at the service. A recorded day on which such a service turned away half of its
/// calls went from 0.513 to 0.553 of the value of its requests when it took the place of 0.6,
/// nested calls of retries were charged and half was reserved for urgent calls
/// (docs/design/shifted-work.md).
const LEAF_SHARE: f64 = 0.9;
/// Share for retries to services that make calls, each of which makes all its nested calls again. Three
/// of these and a share of 0.6 for the service at the end of a chain made up the ratio while nested
/// calls of retries were not charged; it was kept when they were.
const INNER_SHARE: f64 = 0.13;
/// Most of a budget that is reserved for urgent calls. Where a whole service turns away half of its
/// calls there is not enough for all. Shared alike, it was used up by reads with twice as many calls,
/// for next to no answer: the worst seconds of such a time gave 0.14 of the value of their requests, and
/// 0.27 with this (82 machines, one run each). Origin of the figure itself not recorded.
const MAX_RESERVED: f64 = 0.9;
/// Weight of the newest first attempt in the demand of urgent calls. A node deep in a chain sends some
/// two thousand calls a second and so sees a change within a quarter of one.
const DEMAND_GAIN: f64 = 0.002;

/// A retry that is to be paid for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryRequest {
    /// Whether its service makes calls of its own.
    pub calls_others: bool,
    /// Whether the request at the root of its chain is of the highest priority.
    pub is_urgent: bool,
}

/// A call that is sent to its first executor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FirstAttempt {
    /// Whether a run above it is a retry.
    pub is_below_retry: bool,
}

/// Budgets of one service. Whether the service makes calls may change, so each retry is counted in
/// both, and paid from the one that applies.
#[derive(Debug)]
struct ServiceBudgets {
    /// For while the service makes no calls of its own.
    leaf: Budget,
    /// For while it does.
    inner: Budget,
    /// Retries that urgent calls ask for, paid or not, for each first attempt of any call.
    urgent_demand: f64,
    /// Retries that each first attempt allows.
    ratio: f64,
}

/// Budgets for each service, in proportion to this node's own first attempts.
#[derive(Debug)]
pub struct RetryBudgets {
    settings: RetrySettings,
    services: HashMap<Arc<str>, ServiceBudgets>,
}

impl RetryBudgets {
    /// Empty budgets with these bounds.
    #[must_use]
    pub fn new(settings: RetrySettings) -> Self {
        Self {
            settings,
            services: HashMap::new(),
        }
    }

    /// Changes the bounds. Where they differ, all budgets begin empty.
    pub fn set(&mut self, settings: RetrySettings) {
        if settings != self.settings {
            self.settings = settings;
            self.services.clear();
        }
    }

    /// Counts a first attempt.
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
        budgets.urgent_demand *= 1.0 - DEMAND_GAIN;
    }

    /// Pays for a retry to a service; `false` when it must not be sent.
    #[must_use]
    pub fn withdraw(&mut self, service: &Arc<str>, retry: RetryRequest, now: BootInstant) -> bool {
        let budgets = self.budgets(service);
        let now = now.into_std();
        let reserved = budgets.reserved_from(retry);
        if retry.is_urgent {
            budgets.urgent_demand += DEMAND_GAIN;
        }
        let (used, other) = if retry.calls_others {
            (&mut budgets.inner, &mut budgets.leaf)
        } else {
            (&mut budgets.leaf, &mut budgets.inner)
        };
        let is_paid = used.withdraw_above(reserved, now);
        if is_paid {
            other.charge(now);
        }
        is_paid
    }

    fn budgets(&mut self, service: &Arc<str>) -> &mut ServiceBudgets {
        let settings = self.settings;
        self.services
            .entry(service.clone())
            .or_insert_with(|| ServiceBudgets::new(settings))
    }
}

impl ServiceBudgets {
    fn new(settings: RetrySettings) -> Self {
        Self {
            leaf: budget(settings, LEAF_SHARE),
            inner: budget(settings, INNER_SHARE),
            urgent_demand: 0.0,
            ratio: settings.ratio * LEAF_SHARE,
        }
    }

    /// Share of a budget, 0 to 1, that a retry must leave to urgent calls.
    fn reserved_from(&self, retry: RetryRequest) -> f64 {
        if retry.is_urgent {
            return 0.0;
        }
        (self.urgent_demand / self.ratio.max(f64::MIN_POSITIVE)).min(MAX_RESERVED)
    }
}

fn budget(settings: RetrySettings, share: f64) -> Budget {
    Budget::new(BudgetSettings {
        ratio: settings.ratio * share,
        min_per_second: 0,
        ttl: Duration::from_millis(settings.window_ms),
    })
}
