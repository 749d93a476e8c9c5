//! The node's operations on its retry budgets ([`crate::tables::retries`]).

use std::sync::Arc;

use super::Node;
use crate::{
    clock::BootInstant,
    tables::{FirstAttempt, RetryRequest},
};

impl Node {
    /// Records the first attempt of a call, which adds to the retry budget of its service.
    pub fn record_first_attempt(&self, service: &Arc<str>, attempt: FirstAttempt) {
        let mut tables = self.tables();
        let now = BootInstant::now();
        tables.retries.record_first_attempt(service, attempt, now);
    }

    /// Withdraws a retry from the budget of a service. Returns `false` if the budget is exhausted
    /// and the retry must not be sent.
    #[must_use]
    pub fn withdraw_retry(&self, service: &Arc<str>, is_urgent: bool) -> bool {
        let mut tables = self.tables();
        let retry = RetryRequest {
            calls_others: tables.makes_nested_calls(service),
            is_urgent,
        };
        tables.retries.withdraw(service, retry, BootInstant::now())
    }
}
