//! Counts how dispatched calls end, for the back end's share of failing calls, which placement goes by.

use std::time::Duration;

use bytes::Bytes;
use tallybridge_core::Refusal;

use crate::{clock::BootInstant, http::Response, node::Node};

/// A call that is withdrawn within this time before its deadline counts as failed: its caller waited for
/// an answer until the end. One that is withdrawn earlier says nothing of the back end. Origin of the
/// figure not recorded.
const DEADLINE_MARGIN: Duration = Duration::from_millis(30);

/// Records how a dispatched call ends, also when its future is dropped.
pub(super) struct OutcomeRecorder<'a> {
    node: &'a Node,
    attempt: &'a Bytes,
    deadline: BootInstant,
    is_recorded: bool,
}

impl<'a> OutcomeRecorder<'a> {
    /// For a call that is dispatched now.
    pub(super) const fn new(node: &'a Node, attempt: &'a Bytes, deadline: BootInstant) -> Self {
        Self {
            node,
            attempt,
            deadline,
            is_recorded: false,
        }
    }

    /// An answer that is a failure of the back end counts like none.
    pub(super) fn record(mut self, result: &Result<Response, Refusal>) {
        self.is_recorded = true;
        let has_failed = match result {
            Ok(answer) => answer.status >= 500,
            Err(_) => true,
        };
        self.node.call_ended(self.attempt, has_failed);
    }
}

impl Drop for OutcomeRecorder<'_> {
    fn drop(&mut self) {
        let waited_out = BootInstant::now() + DEADLINE_MARGIN >= self.deadline;
        if !self.is_recorded && waited_out {
            self.node.call_ended(self.attempt, true);
        }
    }
}
