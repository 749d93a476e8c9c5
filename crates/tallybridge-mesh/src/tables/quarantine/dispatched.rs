//! Calls dispatched to the back end of this node, tracked to find those that a crash interrupts.

use std::collections::{HashMap, VecDeque};

use bytes::Bytes;

use super::{
    digest::CallContent,
    recent_answers::RecentAnswers,
    suspects::{self, InterruptedCalls, UnansweredCall},
};
use crate::{
    clock::BootInstant, platform::HeaderNames, protocol::CallMessage, tables::Incarnation,
};

/// Bounds memory, at about 100 bytes per call.
const MAX_UNANSWERED_CALLS: usize = 1024;

/// Calls that are running on the back end of this node, and calls that recently ended without an answer.
#[derive(Debug)]
pub struct DispatchedCalls {
    header_names: HeaderNames,
    /// Random seed of the request hashes, so that a caller cannot construct requests that collide.
    secret: u64,
    next_id: u64,
    running: HashMap<DispatchId, RunningCall>,
    unanswered: VecDeque<UnansweredCall>,
    recent_answers: RecentAnswers,
    /// Last incarnation known to have crashed while calls were running.
    last_crashed: Option<Incarnation>,
}

/// Identifies a dispatched call within one [`DispatchedCalls`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct DispatchId(u64);

/// How a dispatched call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchEnd {
    /// The back end answered, with a success or with an error of its own.
    Answered,
    /// The connection closed before the answer arrived.
    ConnectionLost,
    /// The node cancelled the call while the back end may have been running it.
    Cancelled,
    /// The call was not sent, or the back end refused it.
    NotRun,
}

#[derive(Debug)]
pub struct RunningCall {
    head: Bytes,
    body: Bytes,
    incarnation: Incarnation,
    started_at: BootInstant,
}

impl RunningCall {
    /// Returns the parts of the call that identify its request.
    #[must_use]
    pub fn content(&self, names: &HeaderNames) -> CallContent<'_> {
        CallContent::from_head_and_body(&self.head, &self.body, names)
    }
}

impl DispatchedCalls {
    /// Creates an empty table. `header_names` are the names that the platform uses.
    #[must_use]
    pub fn new(header_names: HeaderNames, now: BootInstant) -> Self {
        Self {
            header_names,
            secret: rand::random(),
            next_id: 0,
            running: HashMap::new(),
            unanswered: VecDeque::new(),
            recent_answers: RecentAnswers::new(now),
            last_crashed: None,
        }
    }

    /// Records a call that is dispatched to an incarnation of the back end.
    pub fn begin(
        &mut self,
        call: &CallMessage,
        incarnation: &Incarnation,
        now: BootInstant,
    ) -> DispatchId {
        let id = DispatchId(self.next_id);
        self.next_id += 1;
        let running = RunningCall {
            head: call.head.clone(),
            body: call.body.clone(),
            incarnation: incarnation.clone(),
            started_at: now,
        };
        self.running.insert(id, running);
        id
    }

    /// Records the end of a call. Returns the call if the back end answered it.
    pub fn end(
        &mut self,
        id: DispatchId,
        end: DispatchEnd,
        now: BootInstant,
    ) -> Option<RunningCall> {
        let call = self.running.remove(&id)?;
        match end {
            DispatchEnd::NotRun => None,
            DispatchEnd::Answered => {
                let hashes = call.content(&self.header_names).hashes(self.secret);
                self.recent_answers.add(hashes.content, now);
                self.recent_answers.add(hashes.with_caller, now);
                Some(call)
            }
            DispatchEnd::ConnectionLost | DispatchEnd::Cancelled => {
                if self.unanswered.len() >= MAX_UNANSWERED_CALLS {
                    self.unanswered.pop_front();
                }
                let lost_connection = end == DispatchEnd::ConnectionLost;
                let call = self.unanswered_call(&call, lost_connection, now);
                self.unanswered.push_back(call);
                None
            }
        }
    }

    /// Returns whether calls lost their connections and every running call started after that. The caller
    /// then connects to the back end to find out whether it crashed.
    #[must_use]
    pub fn is_crash_suspected(&self) -> bool {
        let disconnected = self.unanswered.iter();
        let disconnected =
            disconnected.filter(|call| call.lost_connection && !call.backend_reachable_after);
        let Some(last_disconnect) = disconnected.map(|call| call.ended_at).max() else {
            return false;
        };
        let mut running = self.running.values();
        running.all(|call| call.started_at > last_disconnect)
    }

    /// Records that the back end accepts connections, so that earlier connection losses are attributed to a
    /// crash only if [`take_after_restart`](Self::take_after_restart) shows one.
    pub fn mark_backend_reachable(&mut self) {
        for call in self
            .unanswered
            .iter_mut()
            .filter(|call| call.lost_connection)
        {
            call.backend_reachable_after = true;
        }
    }

    /// Returns the calls that a crash of `incarnation` interrupted, and forgets all unanswered calls.
    pub fn take_after_crash(
        &mut self,
        incarnation: &Incarnation,
        now: BootInstant,
    ) -> InterruptedCalls {
        let mut calls = self.take_unanswered(incarnation, now);
        calls.retain(|call| !call.backend_reachable_after);
        self.record_crash(incarnation, calls)
    }

    /// Returns the calls that a crash of `incarnation` interrupted, after the back end was found replaced,
    /// and forgets all unanswered calls.
    ///
    /// The replacement may have accepted the test connection that followed the loss of the calls. Calls
    /// that lost their connections before the back end was found reachable are therefore included if no
    /// other call shows the crash.
    pub fn take_after_replacement(
        &mut self,
        incarnation: &Incarnation,
        now: BootInstant,
    ) -> InterruptedCalls {
        let calls = self.take_unanswered(incarnation, now);
        self.record_crash(incarnation, without_earlier_losses(calls))
    }

    /// Returns the calls that a crash of `incarnation` interrupted, after the back end restarted under the
    /// same id, and forgets all unanswered calls.
    ///
    /// Calls that still appear to run on `incarnation` are included, and others as by
    /// [`take_after_replacement`](Self::take_after_replacement).
    pub fn take_after_restart(
        &mut self,
        incarnation: &Incarnation,
        now: BootInstant,
    ) -> InterruptedCalls {
        let mut calls = self.take_unanswered(incarnation, now);
        let running = self.running.values();
        let running = running.filter(|call| call.incarnation == *incarnation);
        calls.extend(running.map(|call| self.unanswered_call(call, true, now)));
        self.record_crash(incarnation, without_earlier_losses(calls))
    }

    /// Returns whether `incarnation` is the last one known to have crashed while calls were running.
    #[must_use]
    pub fn has_crashed(&self, incarnation: &Incarnation) -> bool {
        self.last_crashed.as_ref() == Some(incarnation)
    }

    fn record_crash(
        &mut self,
        incarnation: &Incarnation,
        calls: Vec<UnansweredCall>,
    ) -> InterruptedCalls {
        if !calls.is_empty() {
            self.last_crashed = Some(incarnation.clone());
        }
        suspects::select(calls, &mut self.recent_answers)
    }

    fn unanswered_call(
        &self,
        call: &RunningCall,
        lost_connection: bool,
        now: BootInstant,
    ) -> UnansweredCall {
        let content = call.content(&self.header_names);
        UnansweredCall {
            digests: content.digests(),
            hashes: content.hashes(self.secret),
            incarnation: call.incarnation.clone(),
            started_at: call.started_at,
            ended_at: now,
            lost_connection,
            backend_reachable_after: false,
        }
    }

    /// Removes all unanswered calls, and returns the recent ones of `incarnation`.
    fn take_unanswered(
        &mut self,
        incarnation: &Incarnation,
        now: BootInstant,
    ) -> Vec<UnansweredCall> {
        let calls = std::mem::take(&mut self.unanswered).into_iter();
        calls
            .filter(|call| call.incarnation == *incarnation && call.is_recent(now))
            .collect()
    }
}

/// Removes the calls that lost their connections before the back end was found reachable, if another call
/// shows the crash.
fn without_earlier_losses(mut calls: Vec<UnansweredCall>) -> Vec<UnansweredCall> {
    let shows_crash = |call: &UnansweredCall| call.lost_connection && !call.backend_reachable_after;
    if calls.iter().any(shows_crash) {
        calls.retain(|call| !call.backend_reachable_after);
    }
    calls
}
