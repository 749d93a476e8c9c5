//! The node's operations on running calls ([`crate::tables::running`]) and on the services that the
//! back end beside it calls.
//!
//! [`RunningAttempt`] and [`NestedCall`] are guards: dropping one records the end of its call.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::time::Instant;

use super::Node;
use crate::{
    protocol::SlotTimes,
    tables::{FoundParent, NestedEnd, Parent},
};

/// Minimum slot time recorded for a failed nested call, so that the request always counts as
/// needing the service.
const MIN_CALL_TIME: Duration = Duration::from_millis(1);

impl Node {
    /// Records that the back end beside this node called a service.
    pub fn record_called_service(&self, service: &Arc<str>) {
        let now = Instant::now();
        let mut tables = self.tables();
        match tables.last_calls.get_mut(service) {
            Some(last_call) => *last_call = now,
            None => {
                tables.last_calls.insert(service.clone(), now);
            }
        }
    }

    /// Records a dispatched call as running until the returned guard is dropped.
    #[must_use]
    pub fn begin_attempt(self: &Arc<Self>, attempt: &Bytes, parent: Parent) -> RunningAttempt {
        self.tables().running.begin(attempt, parent);
        RunningAttempt {
            node: self.clone(),
            attempt: attempt.clone(),
        }
    }

    /// Returns the guard of a nested call if the name of its attempt extends that of a running
    /// call; `None` for a fresh request.
    #[must_use]
    pub fn begin_nested_call(self: &Arc<Self>, attempt: &[u8]) -> Option<NestedCall> {
        let mut tables = self.tables();
        let found_parent = tables.running.parent_of(attempt)?;
        tables.running.begin_nested(&found_parent.attempt);
        Some(NestedCall {
            node: self.clone(),
            found_parent,
            end: NestedEnd::Failed(SlotTimes::default()),
        })
    }

    /// Returns whether a running call has made a nested call.
    #[must_use]
    pub fn has_called(&self, attempt: &Bytes) -> bool {
        self.tables().running.has_made_nested_call(attempt)
    }

    /// Returns the time, by service, for which a running call and its nested calls have held slots.
    /// `own_slot_time` is the time for which the call itself has held its slot.
    #[must_use]
    pub fn slot_times(&self, attempt: &Bytes, own_slot_time: Duration) -> SlotTimes {
        let tables = self.tables();
        let mut times = tables.running.nested_slot_times(attempt);
        times.add(&tables.own_service, own_slot_time);
        times
    }

    /// Returns the call time that nodes report for the fastest back end of a service, or
    /// [`MIN_CALL_TIME`] if that is longer or if no node reports a call time.
    fn min_call_time(&self, service: &str) -> Duration {
        let tables = self.tables();
        let fastest = tables.peers.call_times(service).min();
        fastest.map_or(MIN_CALL_TIME, |time| time.max(MIN_CALL_TIME))
    }
}

/// Guard of a call that runs at the back end beside the node.
pub struct RunningAttempt {
    node: Arc<Node>,
    attempt: Bytes,
}

/// Guard of a nested call that the back end beside the node made for one of its running calls.
pub struct NestedCall {
    node: Arc<Node>,
    found_parent: FoundParent,
    end: NestedEnd,
}

impl NestedCall {
    /// Returns the properties that the nested call inherits from its parent call.
    #[must_use]
    pub const fn parent(&self) -> Parent {
        self.found_parent.parent
    }

    /// Records the service to which the nested call is sent. Unless
    /// [`record_end`](Self::record_end) follows, the call counts as failed after the minimum call
    /// time of the service, so that the service counts as needed even if no answer arrives.
    pub fn record_service(&mut self, service: &Arc<str>) {
        let mut min_times = SlotTimes::default();
        min_times.add(service, self.node.min_call_time(service));
        self.end = NestedEnd::Failed(min_times);
    }

    /// Records how the nested call ended. After a failure, the failure of its parent call is not
    /// attributed to the parent's back end.
    pub fn record_end(&mut self, end: NestedEnd) {
        self.end = end;
    }
}

impl Drop for NestedCall {
    fn drop(&mut self) {
        let parent = &self.found_parent.attempt;
        let mut tables = self.node.tables();
        tables.running.end_nested(parent, &self.end);
    }
}

impl Drop for RunningAttempt {
    fn drop(&mut self) {
        self.node.tables().running.end(&self.attempt);
    }
}
