//! The budgets from which calls are sent again.

use std::sync::Arc;

use super::Node;
use crate::{
    clock::Moment,
    tables::{FirstSending, Repeat},
};

impl Node {
    /// Counts the first sending of a call.
    pub fn first_sent(&self, service: &Arc<str>, sending: FirstSending) {
        self.tables().retries.sent(service, sending, Moment::now());
    }

    /// Pays for sending a call again; `false` when it must not be sent.
    #[must_use]
    pub fn pays_for_repeat(&self, service: &Arc<str>, is_urgent: bool) -> bool {
        let mut tables = self.tables();
        let repeat = Repeat {
            calls_others: tables.calls_others(service),
            is_urgent,
        };
        tables.retries.pay(service, repeat, Moment::now())
    }
}
