//! The node's operations on running calls ([`crate::tables::running`]) and on the services that its back
//! end calls. Both a running call and a nested one are guards: they end when they are dropped.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::time::Instant;

use super::Node;
use crate::{
    protocol::SlotTimes,
    tables::{FoundParent, NestedEnd, Parent},
};

/// Least time for which a failed nested call counts as having held a slot, while no node has reported the
/// call time of its service: enough for the service to count as needed by the request that the call is
/// part of. Origin of the figure not recorded.
const LEAST_CALL_TIME: Duration = Duration::from_millis(1);

impl Node {
    /// The back end called a service.
    pub fn back_end_called(&self, service: &Arc<str>) {
        let now = Instant::now();
        let mut tables = self.tables();
        match tables.called.get_mut(service) {
            Some(at) => *at = now,
            None => {
                tables.called.insert(service.clone(), now);
            }
        }
    }

    /// A call is dispatched to the back end; it ends when what is returned is dropped.
    #[must_use]
    pub fn begin_attempt(self: &Arc<Self>, attempt: &Bytes, parent: Parent) -> RunningAttempt {
        self.tables().running.begin(attempt, parent);
        RunningAttempt {
            node: self.clone(),
            attempt: attempt.clone(),
        }
    }

    /// The nested call of this attempt name, which ends when what is returned is dropped; `None` for
    /// a fresh request.
    #[must_use]
    pub fn nested(self: &Arc<Self>, attempt: &[u8]) -> Option<NestedCall> {
        let mut tables = self.tables();
        let found = tables.running.parent_of(attempt)?;
        tables.running.begin_nested(&found.attempt);
        Some(NestedCall {
            node: self.clone(),
            found,
            end: NestedEnd::Failed(SlotTimes::default()),
        })
    }

    /// Whether a call that runs at the back end has made a nested one.
    #[must_use]
    pub fn has_called(&self, attempt: &Bytes) -> bool {
        self.tables().running.has_made_nested_call(attempt)
    }

    /// Time for which a call that runs at the back end, and has held its slot for `held`, and its nested
    /// calls held slots, by service.
    #[must_use]
    pub fn slot_times(&self, attempt: &Bytes, held: Duration) -> SlotTimes {
        let tables = self.tables();
        let mut times = tables.running.nested_slot_times(attempt);
        times.add(&tables.own_service, held);
        times
    }

    /// Time for which a call holds a slot of a service at its fastest back end, as the nodes beside
    /// these report it; `LEAST_CALL_TIME` at the least, and while none does.
    fn least_call_time(&self, service: &str) -> Duration {
        let tables = self.tables();
        let fastest = tables.peers.call_times(service).min();
        fastest.map_or(LEAST_CALL_TIME, |time| time.max(LEAST_CALL_TIME))
    }
}

/// A call that runs at the back end beside the node.
pub struct RunningAttempt {
    node: Arc<Node>,
    attempt: Bytes,
}

/// A call that the back end beside the node made for one that runs there.
pub struct NestedCall {
    node: Arc<Node>,
    found: FoundParent,
    end: NestedEnd,
}

impl NestedCall {
    /// What it inherits.
    #[must_use]
    pub const fn parent(&self) -> Parent {
        self.found.parent
    }

    /// It is sent to a service. Until [`ended`](Self::ended) says better, it counts as failed there
    /// after the least time that a call takes: the service was needed even if no answer comes.
    pub fn sent_to(&mut self, service: &Arc<str>) {
        let mut least = SlotTimes::default();
        least.add(service, self.node.least_call_time(service));
        self.end = NestedEnd::Failed(least);
    }

    /// How it ended. If it failed, the call that made it may fail for it.
    pub fn ended(&mut self, end: NestedEnd) {
        self.end = end;
    }
}

impl Drop for NestedCall {
    fn drop(&mut self) {
        let parent = &self.found.attempt;
        let mut tables = self.node.tables();
        tables.running.end_nested(parent, &self.end);
    }
}

impl Drop for RunningAttempt {
    fn drop(&mut self) {
        self.node.tables().running.end(&self.attempt);
    }
}
