//! Calls at the back end beside this node, from the check whether they are quarantined to their end.
//!
//! [`crate::tables::quarantine`] has the rule by which a call is refused here, and
//! [`DispatchedCalls`] those that run.
//!
//! [`DispatchedCalls`]: crate::tables::quarantine::DispatchedCalls

use std::sync::Arc;

use tallybridge_core::{ErrorKind, Refusal};

use super::Node;
use crate::{
    clock::BootInstant,
    protocol::{CallMessage, Message, QuarantinedRequest, RequestDigest},
    tables::{
        Incarnation,
        quarantine::{CallContent, DispatchEnd, DispatchId},
    },
};

impl Node {
    /// Refuses a call whose request is quarantined.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Quarantined`], with the time until this node releases the request.
    pub fn refuse_quarantined(&self, call: &CallMessage) -> Result<(), Refusal> {
        let Some(digests) = self.digests_if_suspects(call) else {
            return Ok(());
        };
        let found = self.tables().quarantine.find(&digests, BootInstant::now());
        let Some(request) = found else {
            return Ok(());
        };
        let QuarantinedRequest {
            digest, crashes, ..
        } = request;
        let detail = format!("{crashes} back ends ended under this request, digest {digest}");
        let refusal = Refusal::new(ErrorKind::Quarantined, detail);
        Err(refusal.with_retry_after(request.remaining))
    }

    /// Tracks a call that is dispatched to the back end beside this node, until what is returned is
    /// ended or dropped. A request that was quarantined begins its trial with it.
    #[must_use]
    pub fn track_dispatch(
        self: &Arc<Self>,
        call: &CallMessage,
        incarnation: &Incarnation,
    ) -> DispatchedCall {
        let digests = self.digests_if_suspects(call);
        let now = BootInstant::now();
        let mut tables = self.tables();
        let id = tables.dispatched.begin(call, incarnation, now);
        let trials = match &digests {
            Some(digests) => tables.quarantine.begin_trial(digests, now),
            None => Vec::new(),
        };
        drop(tables);
        for trial in trials {
            tracing::info!(digest = %trial.digest, crashes = trial.crashes, "request tried again");
            self.gossip(Message::Quarantined(trial));
        }
        DispatchedCall {
            node: self.clone(),
            id,
            end: DispatchEnd::Cancelled,
        }
    }

    /// The digests of a call, or `None` while no request at all is a suspect, which saves their cost.
    fn digests_if_suspects(&self, call: &CallMessage) -> Option<[RequestDigest; 2]> {
        let has_suspects = !self.tables().quarantine.is_empty();
        has_suspects.then(|| CallContent::new(call, &self.names).digests().to_array())
    }
}

/// A call at the back end. One that is dropped without an end was cancelled.
pub struct DispatchedCall {
    node: Arc<Node>,
    id: DispatchId,
    end: DispatchEnd,
}

impl DispatchedCall {
    /// The call has ended.
    pub fn end(mut self, end: DispatchEnd) {
        self.end = end;
    }
}

impl Drop for DispatchedCall {
    fn drop(&mut self) {
        let node = &self.node;
        let answered = {
            let mut tables = node.tables();
            let has_suspects = !tables.quarantine.is_empty();
            let answered = tables.dispatched.end(self.id, self.end, BootInstant::now());
            answered.filter(|_| has_suspects)
        };
        if let Some(answered) = answered {
            let digests = answered.content(&node.names).digests();
            node.clear_suspects(&digests.to_array());
        }
        if self.end == DispatchEnd::ConnectionLost {
            node.signals.call_lost.notify_one();
        }
    }
}
