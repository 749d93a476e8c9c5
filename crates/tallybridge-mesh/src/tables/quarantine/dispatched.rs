//! Calls that the back end beside this node was handed, and which of them are suspects when it ends.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    time::Duration,
};

use bytes::Bytes;

use super::{
    digest::{CallContent, ContentHashes, RequestDigests},
    recent_answers::RecentAnswers,
};
use crate::protocol::RequestDigest;
use crate::{
    clock::BootInstant, platform::HeaderNames, protocol::CallMessage, tables::Incarnation,
};

/// A call that was broken off is a suspect if the back end is found to have ended within this time:
/// a back end is back some seconds after it ended, and is known by another id or start then.
const BROKEN_FOR: Duration = Duration::from_secs(10);
/// The same of one that was withdrawn: most back ends drop it at once, some work on.
const WITHDRAWN_FOR: Duration = Duration::from_secs(1);
/// Ended calls that are remembered, some 100 bytes each.
const MAX_ENDED: usize = 1024;
/// Calls whose digests one report holds. Above it those that began last go first, as a request ends
/// its back end soon after it begins.
const MAX_SUSPECTS: usize = 64;

/// One call at the back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct DispatchId(u64);

/// How a call at the back end ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchEnd {
    /// The back end ran it and answered, well or with a failure of its own.
    Answered,
    /// Its connection ended before the answer.
    Broken,
    /// It was given up while the back end may have been at work on it.
    Withdrawn,
    /// Nothing was handed over, or the back end refused it.
    NotRun,
}

/// A call that the back end is at work on.
#[derive(Debug)]
pub struct RunningCall {
    head: Bytes,
    body: Bytes,
    incarnation: Incarnation,
    began: BootInstant,
}

impl RunningCall {
    /// What it asks for.
    #[must_use]
    pub fn content(&self, names: &HeaderNames) -> CallContent<'_> {
        CallContent::of_parts(&self.head, &self.body, names)
    }
}

#[derive(Debug)]
struct EndedCall {
    digests: RequestDigests,
    hashes: ContentHashes,
    incarnation: Incarnation,
    began: BootInstant,
    ended: BootInstant,
    is_broken: bool,
    /// Whether a connection went through after it broke off: only a newer start under the same id
    /// shows that its back end ended nevertheless.
    is_absolved: bool,
}

impl EndedCall {
    fn is_remembered(&self, now: BootInstant) -> bool {
        let kept = match self.is_broken {
            true => BROKEN_FOR,
            false => WITHDRAWN_FOR,
        };
        now.saturating_duration_since(self.ended) < kept
    }
}

/// What a back end had been handed when it ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InterruptedCalls {
    /// Calls that were broken off or just withdrawn.
    pub calls: usize,
    /// Digests of requests that were answered several times lately, and so are no suspects.
    pub popular: usize,
    /// Digests of the suspects.
    pub suspects: Vec<RequestDigest>,
}

/// Calls at the back end beside this node.
#[derive(Debug)]
pub struct DispatchedCalls {
    names: HeaderNames,
    secret: u64,
    next: u64,
    running: HashMap<DispatchId, RunningCall>,
    ended: VecDeque<EndedCall>,
    recent: RecentAnswers,
}

impl DispatchedCalls {
    /// No calls. Header names are those of the platform.
    #[must_use]
    pub fn new(names: HeaderNames, now: BootInstant) -> Self {
        Self {
            names,
            secret: rand::random(),
            next: 0,
            running: HashMap::new(),
            ended: VecDeque::new(),
            recent: RecentAnswers::new(now),
        }
    }

    /// A call is handed to a back end.
    pub fn begin(
        &mut self,
        call: &CallMessage,
        incarnation: &Incarnation,
        now: BootInstant,
    ) -> DispatchId {
        let id = DispatchId(self.next);
        self.next += 1;
        let running = RunningCall {
            head: call.head.clone(),
            body: call.body.clone(),
            incarnation: incarnation.clone(),
            began: now,
        };
        self.running.insert(id, running);
        id
    }

    /// A call has ended. Gives one that was answered.
    pub fn end(
        &mut self,
        id: DispatchId,
        end: DispatchEnd,
        now: BootInstant,
    ) -> Option<RunningCall> {
        let call = self.running.remove(&id)?;
        let content = call.content(&self.names);
        match end {
            DispatchEnd::NotRun => {}
            DispatchEnd::Answered => {
                let hashes = content.hashes(self.secret);
                self.recent.note(hashes.content, now);
                self.recent.note(hashes.from_caller, now);
                return Some(call);
            }
            DispatchEnd::Broken | DispatchEnd::Withdrawn => {
                if self.ended.len() >= MAX_ENDED {
                    self.ended.pop_front();
                }
                let is_broken = end == DispatchEnd::Broken;
                let ended = self.ended_call(&call, is_broken, now);
                self.ended.push_back(ended);
            }
        }
        None
    }

    /// Whether calls were broken off and none goes on that began before: so it looks when a back end
    /// ends.
    #[must_use]
    pub fn all_broke(&self) -> bool {
        let broken = self.ended.iter();
        let broken = broken.filter(|call| call.is_broken && !call.is_absolved);
        let Some(last_broke) = broken.map(|call| call.ended).max() else {
            return false;
        };
        let mut running = self.running.values();
        running.all(|call| call.began > last_broke)
    }

    /// The back end lives, or is back already: as far as is known, what was broken off was not
    /// broken off by its end.
    pub fn absolve_broken(&mut self) {
        for call in self.ended.iter_mut().filter(|call| call.is_broken) {
            call.is_absolved = true;
        }
    }

    /// A back end ended. Gives what it had been handed, once.
    pub fn take(&mut self, incarnation: &Incarnation, now: BootInstant) -> InterruptedCalls {
        let mut calls = self.take_ended(incarnation, now);
        calls.retain(|call| !call.is_absolved);
        self.judge(calls)
    }

    /// A back end ended, as it has started again under its id. Gives what it had been handed, once:
    /// also what it is still believed to be at work on, and, if nothing else shows what broke off at
    /// its end, what broke off before it was found to be back.
    pub fn take_restarted(
        &mut self,
        incarnation: &Incarnation,
        now: BootInstant,
    ) -> InterruptedCalls {
        let mut calls = self.take_ended(incarnation, now);
        let running = self.running.values();
        let running = running.filter(|call| call.incarnation == *incarnation);
        calls.extend(running.map(|call| self.ended_call(call, true, now)));
        if calls.iter().any(|call| call.is_broken && !call.is_absolved) {
            calls.retain(|call| !call.is_absolved);
        }
        self.judge(calls)
    }

    fn ended_call(&self, call: &RunningCall, is_broken: bool, now: BootInstant) -> EndedCall {
        let content = call.content(&self.names);
        EndedCall {
            digests: content.digests(),
            hashes: content.hashes(self.secret),
            incarnation: call.incarnation.clone(),
            began: call.began,
            ended: now,
            is_broken,
            is_absolved: false,
        }
    }

    fn take_ended(&mut self, incarnation: &Incarnation, now: BootInstant) -> Vec<EndedCall> {
        let ended = std::mem::take(&mut self.ended).into_iter();
        let of_this =
            |call: &EndedCall| call.incarnation == *incarnation && call.is_remembered(now);
        ended.filter(of_this).collect()
    }

    fn judge(&mut self, mut calls: Vec<EndedCall>) -> InterruptedCalls {
        calls.sort_by_key(|call| std::cmp::Reverse(call.began));
        let mut exposure = InterruptedCalls {
            calls: calls.len(),
            popular: 0,
            suspects: Vec::new(),
        };
        let mut judged = HashSet::new();
        for call in &calls {
            let [content, from_caller] = call.digests.both();
            let ways = [
                (content, call.hashes.content),
                (from_caller, call.hashes.from_caller),
            ];
            for (digest, hash) in ways {
                if !judged.insert(digest) {
                    continue;
                }
                if self.recent.take_popular(hash) {
                    exposure.popular += 1;
                } else if exposure.suspects.len() < 2 * MAX_SUSPECTS {
                    exposure.suspects.push(digest);
                }
            }
        }
        exposure
    }
}
