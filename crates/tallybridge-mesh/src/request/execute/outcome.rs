//! Records the results of dispatched calls for the failure rate of the back end, which placement uses.

use std::time::Duration;

use bytes::Bytes;
use tallybridge_core::{ErrorKind, Refusal};

use crate::{clock::BootInstant, http::Response, node::Node};

/// A call that is cancelled within this time before its deadline counts as failed, because its caller
/// waited nearly until the deadline. An earlier cancellation says nothing about the back end.
const DEADLINE_MARGIN: Duration = Duration::from_millis(30);

/// Records the result of a dispatched call. When the future of the call is dropped, the call counts as
/// failed if its deadline is near.
pub(super) struct OutcomeRecorder<'a> {
    node: &'a Node,
    attempt: &'a Bytes,
    deadline: BootInstant,
    is_recorded: bool,
}

impl<'a> OutcomeRecorder<'a> {
    pub(super) const fn new(node: &'a Node, attempt: &'a Bytes, deadline: BootInstant) -> Self {
        Self {
            node,
            attempt,
            deadline,
            is_recorded: false,
        }
    }

    /// Records the result. A status of 500 or above counts as a failure, as does a missing answer. The
    /// refusal of a back end that announces a rate limit says nothing about its health.
    pub(super) fn record(mut self, result: &Result<Response, Refusal>) {
        self.is_recorded = true;
        let has_failed = match result {
            Ok(answer) => answer.status >= 500,
            Err(refusal) if self.is_rate_limit_refusal(refusal) => return,
            Err(_) => true,
        };
        self.node.call_ended(self.attempt, has_failed);
    }

    fn is_rate_limit_refusal(&self, refusal: &Refusal) -> bool {
        refusal.kind == ErrorKind::BackendRefused && self.node.slots.is_rate_limited()
    }
}

impl Drop for OutcomeRecorder<'_> {
    fn drop(&mut self) {
        let is_near_deadline = BootInstant::now() + DEADLINE_MARGIN >= self.deadline;
        if !self.is_recorded && is_near_deadline {
            self.node.call_ended(self.attempt, true);
        }
    }
}
