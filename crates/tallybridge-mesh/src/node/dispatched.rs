//! Calls dispatched to the back end beside this node, from the quarantine check to their end.
//!
//! [`crate::tables::quarantine`] decides which calls are refused; its
//! [`DispatchedCalls`](crate::tables::quarantine::DispatchedCalls) tracks the running ones.

use std::{sync::Arc, time::Duration};

use tallybridge_core::{ErrorKind, Refusal};

use super::Node;
use crate::{
    clock::{BootInstant, timeout_at},
    protocol::{CallMessage, Message, QuarantinedRequest, RequestDigest},
    tables::{
        Incarnation,
        quarantine::{CallContent, DispatchEnd, DispatchId, UnstoredSuspect},
    },
};

/// Longest `Retry-After` of a suspect whose crash count is not stored yet.
const UNSTORED_RETRY_AFTER: Duration = Duration::from_secs(2);

fn quarantine_refusal(request: &QuarantinedRequest) -> Refusal {
    let QuarantinedRequest {
        digest, crashes, ..
    } = request;
    let detail = format!("{crashes} back ends crashed while running this request, digest {digest}");
    Refusal::new(ErrorKind::Quarantined, detail).with_retry_after(request.remaining)
}

fn unstored_refusal(suspect: &UnstoredSuspect, now: BootInstant) -> Refusal {
    let UnstoredSuspect {
        digest,
        crashes,
        released_at,
        ..
    } = suspect;
    let detail = format!(
        "{crashes} back ends crashed while running this request, and the store does not hold this \
         count yet, digest {digest}"
    );
    let remaining = released_at.saturating_duration_since(now);
    Refusal::new(ErrorKind::Quarantined, detail)
        .with_retry_after(remaining.min(UNSTORED_RETRY_AFTER))
}

impl Node {
    /// Refuses a call whose request is quarantined, or whose crash count was not stored in time.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Quarantined`], with the time until this node releases the request, or a shorter
    /// time if the request is released as soon as its crash count is stored.
    pub fn refuse_quarantined(&self, call: &CallMessage) -> Result<(), Refusal> {
        let Some(digests) = self.digests_if_any_suspect(call) else {
            return Ok(());
        };
        let now = BootInstant::now();
        let (quarantined, unstored) = {
            let quarantine = &self.tables().quarantine;
            let quarantined = quarantine.find(&digests, now);
            (quarantined, quarantine.find_unstored(&digests, now))
        };
        if let Some(request) = quarantined {
            return Err(quarantine_refusal(&request));
        }
        match unstored {
            Some(suspect) if now >= suspect.refused_from => Err(unstored_refusal(&suspect, now)),
            _ => Ok(()),
        }
    }

    /// Returns whether a back end crashed while it ran the call's request, and none has answered it
    /// since.
    #[must_use]
    pub fn is_suspect(&self, call: &CallMessage) -> bool {
        let digests = self.digests_if_any_suspect(call);
        digests.is_some_and(|digests| self.tables().quarantine.has_suspect(&digests))
    }

    /// Waits while the crash count of the call's request is being stored, until
    /// [`refuse_quarantined`](Self::refuse_quarantined) would refuse the call.
    pub async fn wait_until_crashes_stored(&self, call: &CallMessage) {
        let Some(digests) = self.digests_if_any_suspect(call) else {
            return;
        };
        let mut stored = self.signals.crashes_stored.subscribe();
        loop {
            let now = BootInstant::now();
            let unstored = self.tables().quarantine.find_unstored(&digests, now);
            let Some(suspect) = unstored else {
                return;
            };
            let storage = stored.changed();
            if timeout_at(suspect.refused_from, storage).await.is_err() {
                return;
            }
        }
    }

    /// Tracks a dispatched call until the returned guard is ended or dropped. If the quarantine of
    /// the request has just expired, this call is its trial.
    #[must_use]
    pub fn track_dispatch(
        self: &Arc<Self>,
        call: &CallMessage,
        incarnation: &Incarnation,
    ) -> DispatchedCall {
        let digests = self.digests_if_any_suspect(call);
        let now = BootInstant::now();
        let mut tables = self.tables();
        let id = tables.dispatched.begin(call, incarnation, now);
        let trials = match &digests {
            Some(digests) => tables.quarantine.begin_trial(digests, now),
            None => Vec::new(),
        };
        drop(tables);
        for trial in trials {
            tracing::info!(
                digest = %trial.digest,
                crashes = trial.crashes,
                "quarantine expired; running one call of the request as a trial"
            );
            self.gossip(Message::Quarantined(trial));
        }
        DispatchedCall {
            node: self.clone(),
            id,
            end: DispatchEnd::Cancelled,
        }
    }

    /// Returns the digests of a call, or `None` if there are no suspects, which saves computing the
    /// digests.
    fn digests_if_any_suspect(&self, call: &CallMessage) -> Option<[RequestDigest; 2]> {
        let has_suspects = !self.tables().quarantine.is_empty();
        has_suspects.then(|| {
            CallContent::new(call, &self.header_names)
                .digests()
                .to_array()
        })
    }
}

/// Guard of a call that runs at the back end. Dropping it without [`end`](Self::end) records the
/// call as cancelled.
pub struct DispatchedCall {
    node: Arc<Node>,
    id: DispatchId,
    end: DispatchEnd,
}

impl DispatchedCall {
    /// Records how the call ended.
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
            let digests = answered.content(&node.header_names).digests();
            node.clear_suspects(&digests.to_array());
        }
        if self.end == DispatchEnd::ConnectionLost {
            node.signals.call_lost.notify_one();
        }
    }
}
