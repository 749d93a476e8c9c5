//! The budgets from which calls are sent again.

use std::sync::Arc;

use super::Node;
use crate::{
    clock::BootInstant,
    tables::{FirstAttempt, RetryRequest},
};

impl Node {
    /// Counts the first sending of a call.
    pub fn record_first_attempt(&self, service: &Arc<str>, sending: FirstAttempt) {
        self.tables()
            .retries
            .sent(service, sending, BootInstant::now());
    }

    /// Pays for sending a call again; `false` when it must not be sent.
    #[must_use]
    pub fn withdraw_retry(&self, service: &Arc<str>, is_urgent: bool) -> bool {
        let mut tables = self.tables();
        let repeat = RetryRequest {
            calls_others: tables.calls_others(service),
            is_urgent,
        };
        tables.retries.pay(service, repeat, BootInstant::now())
    }
}
