//! Calls that run at the back end beside this node, and the nested calls that they make.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::time::Instant;

use super::Node;
use crate::{
    protocol::SlotTimes,
    tables::{FoundParent, NestedEnd, Parent},
};

/// Time that a call of a service takes at the least as long as nobody told: enough for the service
/// to count as needed by the request that it is part of.
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

    /// A call begins to run at the back end; it ends when what is returned is dropped.
    #[must_use]
    pub fn attempt_runs(self: &Arc<Self>, attempt: &Bytes, parent: Parent) -> RunningAttempt {
        self.tables().running.begin(attempt, parent);
        RunningAttempt {
            node: self.clone(),
            attempt: attempt.clone(),
        }
    }

    /// The call at the back end that made the one of this name, which is nested for as long as
    /// what is returned lives.
    #[must_use]
    pub fn nested(self: &Arc<Self>, attempt: &[u8]) -> Option<NestedCall> {
        let mut tables = self.tables();
        let found = tables.running.parent_of(attempt)?;
        tables.running.nested_begins(&found.attempt);
        Some(NestedCall {
            node: self.clone(),
            found,
            end: NestedEnd::Failed(SlotTimes::default()),
        })
    }

    /// Whether a call that runs at the back end has made a nested one.
    #[must_use]
    pub fn has_called(&self, attempt: &Bytes) -> bool {
        self.tables().running.has_called(attempt)
    }

    /// What a call costs that runs at the back end and has held its slot for `held`.
    #[must_use]
    pub fn slot_times(&self, attempt: &Bytes, held: Duration) -> SlotTimes {
        let tables = self.tables();
        let mut times = tables.running.times_below(attempt);
        times.add(&tables.own_service, held);
        times
    }

    /// Time for which a call holds a slot of a service at its fastest back end, as the nodes beside
    /// these tell; [`LEAST_CALL_TIME`] while none does.
    fn least_call_time(&self, service: &str) -> Duration {
        let tables = self.tables();
        let told = tables.peers.call_times(service).min();
        told.unwrap_or_default().max(LEAST_CALL_TIME)
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

    /// It is sent to a service. If it gets no answer, that service was needed all the same.
    pub fn sent_to(&mut self, service: &Arc<str>) {
        let mut least = SlotTimes::default();
        least.add(service, self.node.least_call_time(service));
        self.end = NestedEnd::Failed(least);
    }

    /// It ended like this. If it ended badly, the call that made it may fail for it.
    pub fn ended(&mut self, end: NestedEnd) {
        self.end = end;
    }
}

impl Drop for NestedCall {
    fn drop(&mut self) {
        let parent = &self.found.attempt;
        let mut tables = self.node.tables();
        tables.running.nested_ended(parent, &self.end);
    }
}

impl Drop for RunningAttempt {
    fn drop(&mut self) {
        self.node.tables().running.end(&self.attempt);
    }
}
