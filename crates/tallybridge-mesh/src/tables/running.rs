//! Running calls: those that are at the back end beside this node, with the nested calls that they make.
//!
//! Owns a row for each call from its dispatch to its end. By it the entry tells a nested call from a
//! fresh request, and the node knows what a call cost further down and whether a failure of it may be
//! that of a nested call. Relies on the names of attempts: back ends name a nested call after the one
//! that makes it.

use std::collections::HashMap;

use bytes::Bytes;

use crate::protocol::SlotTimes;

/// What a nested call inherits from the call that makes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Parent {
    /// Whether the request at the root of the chain is of the highest priority.
    pub is_urgent: bool,
    /// Whether it, or a run above it, is a retry: its calls are then retries as well.
    pub is_retry: bool,
}

/// The running call that made a nested one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FoundParent {
    /// Its attempt.
    pub attempt: Bytes,
    /// What the nested call inherits.
    pub parent: Parent,
}

/// How a nested call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NestedEnd {
    /// With an answer that is no failure, after it held slots for these times.
    Succeeded(SlotTimes),
    /// With a failure, a refusal or no answer, after it held slots for these times at the least.
    Failed(SlotTimes),
}

#[derive(Debug)]
struct Running {
    parent: Parent,
    /// Runs of this attempt that go on here at once.
    runs: u32,
    /// Whether it made a nested call.
    has_called: bool,
    /// Nested calls that have not ended.
    open_calls: u32,
    /// Whether a nested call failed.
    has_failed_below: bool,
    /// How long its nested calls held slots.
    times_below: SlotTimes,
}

/// Running calls, by the name of their attempt.
///
/// The name of a nested call is its parent's name, a separator that is no letter or digit, and a part of
/// its own. A call whose name extends that of none that runs here is a fresh request.
#[derive(Debug, Default)]
pub struct RunningAttempts(HashMap<Bytes, Running>);

impl RunningAttempts {
    /// A call begins to run.
    pub fn begin(&mut self, attempt: &Bytes, parent: Parent) {
        let running = self.0.entry(attempt.clone()).or_insert(Running {
            parent,
            runs: 0,
            has_called: false,
            open_calls: 0,
            has_failed_below: false,
            times_below: SlotTimes::default(),
        });
        running.runs += 1;
        running.parent.is_retry |= parent.is_retry;
    }

    /// A call has ended.
    pub fn end(&mut self, attempt: &Bytes) {
        let Some(running) = self.0.get_mut(attempt) else {
            return;
        };
        running.runs -= 1;
        if running.runs == 0 {
            self.0.remove(attempt);
        }
    }

    /// The running call that made the one of this name.
    #[must_use]
    pub fn parent_of(&self, attempt: &[u8]) -> Option<FoundParent> {
        let is_separator = |byte: &u8| !byte.is_ascii_alphanumeric();
        let mut name = attempt;
        while let Some(end) = name.iter().rposition(is_separator) {
            name = &name[..end];
            if let Some((attempt, running)) = self.0.get_key_value(name) {
                return Some(FoundParent {
                    attempt: attempt.clone(),
                    parent: running.parent,
                });
            }
        }
        None
    }

    /// A running call made a nested one.
    pub fn begin_nested(&mut self, parent: &Bytes) {
        if let Some(running) = self.0.get_mut(parent) {
            running.has_called = true;
            running.open_calls += 1;
        }
    }

    /// A nested call ended. What a failed one cost counts as well: a request that fails since a service
    /// deep down is full would otherwise never show that it needs that service.
    pub fn end_nested(&mut self, parent: &Bytes, end: &NestedEnd) {
        let Some(running) = self.0.get_mut(parent) else {
            return;
        };
        running.open_calls = running.open_calls.saturating_sub(1);
        let (NestedEnd::Succeeded(times) | NestedEnd::Failed(times)) = end;
        running.times_below.add_all(times);
        running.has_failed_below |= matches!(end, NestedEnd::Failed(_));
    }

    /// How long the ended nested calls of a running call held slots, by service.
    #[must_use]
    pub fn times_below(&self, attempt: &Bytes) -> SlotTimes {
        let running = self.0.get(attempt);
        running.map_or_else(SlotTimes::default, |running| running.times_below.clone())
    }

    /// Whether a running call has made a nested one.
    #[must_use]
    pub fn has_called(&self, attempt: &Bytes) -> bool {
        let running = self.0.get(attempt);
        running.is_some_and(|running| running.has_called)
    }

    /// Whether a failure of a running call may be that of a call that it made.
    #[must_use]
    pub fn may_fail_for_another(&self, attempt: &Bytes) -> bool {
        let running = self.0.get(attempt);
        running.is_some_and(|running| running.open_calls > 0 || running.has_failed_below)
    }
}
