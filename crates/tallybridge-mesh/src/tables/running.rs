//! Calls that run at the back end beside this node, so that their nested calls are known as such.

use std::collections::HashMap;

use bytes::Bytes;

use crate::protocol::SlotTimes;

/// What a nested call inherits from the call that makes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Parent {
    /// Whether the request at the root of the chain is of the highest priority.
    pub is_urgent: bool,
    /// Whether it, or a run above it, is a repeat: its calls are then repeats as well.
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
    /// With an answer that is no failure, at this cost.
    Succeeded(SlotTimes),
    /// With a failure, a refusal or not at all, at this cost at the least.
    Failed(SlotTimes),
}

#[derive(Debug)]
struct Running {
    parent: Parent,
    /// Times that it runs at once.
    runs: u32,
    /// Whether it made a nested call.
    has_called: bool,
    /// Nested calls that have not ended.
    open: u32,
    /// Whether a nested call ended badly.
    has_failed_below: bool,
    /// What its nested calls cost.
    times_below: SlotTimes,
}

/// Running calls, by the name of their attempt.
///
/// Back ends name a nested call after the one that makes it: the parent's name, a separator, a
/// part of its own. A call whose name extends that of none that runs here is a fresh request.
#[derive(Debug, Default)]
pub struct RunningAttempts(HashMap<Bytes, Running>);

impl RunningAttempts {
    /// A call begins to run.
    pub fn begin(&mut self, attempt: &Bytes, parent: Parent) {
        let running = self.0.entry(attempt.clone()).or_insert(Running {
            parent,
            runs: 0,
            has_called: false,
            open: 0,
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
    pub fn nested_begins(&mut self, parent: &Bytes) {
        if let Some(running) = self.0.get_mut(parent) {
            running.has_called = true;
            running.open += 1;
        }
    }

    /// A nested call ended. What one that ended badly cost counts as well: a request that fails
    /// since a service deep down is full would otherwise never show that it needs that service.
    pub fn nested_ended(&mut self, parent: &Bytes, end: &NestedEnd) {
        let Some(running) = self.0.get_mut(parent) else {
            return;
        };
        running.open = running.open.saturating_sub(1);
        let (NestedEnd::Succeeded(times) | NestedEnd::Failed(times)) = end;
        running.times_below.add_all(times);
        running.has_failed_below |= matches!(end, NestedEnd::Failed(_));
    }

    /// What the nested calls of a running call cost that have ended.
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
        running.is_some_and(|running| running.open > 0 || running.has_failed_below)
    }
}
