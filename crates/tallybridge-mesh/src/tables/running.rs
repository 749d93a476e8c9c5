//! Calls that are running at the back end beside this node, and their nested calls.
//!
//! Owns a row for each call from its dispatch to its end. The entry uses the table to distinguish
//! nested calls from fresh requests. The node uses it to sum up the cost of nested calls and to
//! tell whether a failure may come from one. Relies on back ends to derive the name of a nested
//! call from the name of the calling attempt.

use std::collections::HashMap;

use bytes::Bytes;

use crate::protocol::SlotTimes;

/// What a nested call inherits from its parent, the call that makes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Parent {
    /// Whether the request at the root of the call chain has the highest priority.
    pub is_urgent: bool,
    /// Whether the parent, or an execution further up the chain, is a retry. Nested calls then
    /// count as retries as well.
    pub is_retry: bool,
}

/// The running call that made a nested call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FoundParent {
    /// Name of the parent's attempt.
    pub attempt: Bytes,
    /// What the nested call inherits.
    pub parent: Parent,
}

/// How a nested call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NestedEnd {
    /// The call was answered without a failure. Carries the times for which the call held slots.
    Succeeded(SlotTimes),
    /// The call failed, was refused or got no answer. Carries a lower bound of the times for which
    /// the call held slots.
    Failed(SlotTimes),
}

#[derive(Debug)]
struct AttemptState {
    parent: Parent,
    /// Concurrent executions of this attempt at the back end.
    active_executions: u32,
    has_made_nested_call: bool,
    /// Nested calls that have not ended.
    open_nested_calls: u32,
    has_nested_failure: bool,
    /// Times for which ended nested calls held slots, by service.
    nested_slot_times: SlotTimes,
}

/// Running calls by the name of their attempt.
///
/// The name of a nested call consists of its parent's name, a separator that is neither a letter
/// nor a digit, and a suffix. A call is a fresh request if its name extends the name of no running
/// call.
#[derive(Debug, Default)]
pub struct RunningAttempts(HashMap<Bytes, AttemptState>);

impl RunningAttempts {
    /// Records that an attempt was dispatched to the back end.
    pub fn begin(&mut self, attempt: &Bytes, parent: Parent) {
        let state = self.0.entry(attempt.clone()).or_insert(AttemptState {
            parent,
            active_executions: 0,
            has_made_nested_call: false,
            open_nested_calls: 0,
            has_nested_failure: false,
            nested_slot_times: SlotTimes::default(),
        });
        state.active_executions += 1;
        state.parent.is_retry |= parent.is_retry;
    }

    /// Records that an execution of an attempt ended.
    pub fn end(&mut self, attempt: &Bytes) {
        let Some(state) = self.0.get_mut(attempt) else {
            return;
        };
        state.active_executions -= 1;
        if state.active_executions == 0 {
            self.0.remove(attempt);
        }
    }

    /// Returns the running call that made the nested call with this name.
    #[must_use]
    pub fn parent_of(&self, attempt: &[u8]) -> Option<FoundParent> {
        let is_separator = |byte: &u8| !byte.is_ascii_alphanumeric();
        let mut name = attempt;
        while let Some(end) = name.iter().rposition(is_separator) {
            name = &name[..end];
            if let Some((attempt, state)) = self.0.get_key_value(name) {
                return Some(FoundParent {
                    attempt: attempt.clone(),
                    parent: state.parent,
                });
            }
        }
        None
    }

    /// Records that a running call made a nested call.
    pub fn begin_nested(&mut self, parent: &Bytes) {
        if let Some(state) = self.0.get_mut(parent) {
            state.has_made_nested_call = true;
            state.open_nested_calls += 1;
        }
    }

    /// Records how a nested call ended. The cost of a failed call is included: otherwise a request
    /// that fails because of a full service would never show that it needs this service.
    pub fn end_nested(&mut self, parent: &Bytes, end: &NestedEnd) {
        let Some(state) = self.0.get_mut(parent) else {
            return;
        };
        state.open_nested_calls = state.open_nested_calls.saturating_sub(1);
        let (NestedEnd::Succeeded(times) | NestedEnd::Failed(times)) = end;
        state.nested_slot_times.add_all(times);
        state.has_nested_failure |= matches!(end, NestedEnd::Failed(_));
    }

    /// Returns the times for which ended nested calls of a running call held slots, by service.
    #[must_use]
    pub fn nested_slot_times(&self, attempt: &Bytes) -> SlotTimes {
        let state = self.0.get(attempt);
        state.map_or_else(SlotTimes::default, |state| state.nested_slot_times.clone())
    }

    /// Returns whether a running call has made a nested call.
    #[must_use]
    pub fn has_made_nested_call(&self, attempt: &Bytes) -> bool {
        let state = self.0.get(attempt);
        state.is_some_and(|state| state.has_made_nested_call)
    }

    /// Returns whether a failure of a running call may come from one of its nested calls.
    #[must_use]
    pub fn may_fail_due_to_nested_call(&self, attempt: &Bytes) -> bool {
        let state = self.0.get(attempt);
        state.is_some_and(|state| state.open_nested_calls > 0 || state.has_nested_failure)
    }
}
