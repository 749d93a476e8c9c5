//! Selection of the calls suspected of a crash.
//!
//! Nothing shows which call caused a crash. All calls that lost their connections within 10 s before its
//! detection and all calls cancelled within 1 s before are suspects, except popular requests. A crash report
//! names at most 64 calls, those that started last, each by its two digests.

use std::{cmp::Reverse, collections::HashSet, time::Duration};

use super::{
    digest::{RequestDigests, RequestHashes},
    recent_answers::RecentAnswers,
};
use crate::{clock::BootInstant, protocol::RequestDigest, tables::Incarnation};

/// Long enough for a replacement to start, which may be the first sign of the crash.
const MAX_LOST_CALL_AGE: Duration = Duration::from_secs(10);
/// Some back ends keep working on a call for a moment after its cancellation.
const MAX_CANCELLED_CALL_AGE: Duration = Duration::from_secs(1);
/// Limits a crash report to 2 KB of digests.
const MAX_SUSPECT_CALLS: usize = 64;

/// Calls that a crash of the back end interrupted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InterruptedCalls {
    /// Number of calls that lost their connection or were cancelled shortly before the crash.
    pub calls: usize,
    /// Number of digests that are exempt because the back end answered their requests several times
    /// shortly before the crash.
    pub popular: usize,
    /// Number of digests that exceed the limit of a crash report.
    pub omitted: usize,
    /// Digests of the suspects, ordered from the last call started to the first.
    pub suspects: Vec<RequestDigest>,
}

impl InterruptedCalls {
    /// Returns whether `suspects` covers every interrupted call.
    #[must_use]
    pub const fn names_all(&self) -> bool {
        self.popular == 0 && self.omitted == 0
    }
}

/// A call that ended without an answer while the back end may have been running it.
#[derive(Debug)]
pub(super) struct UnansweredCall {
    pub(super) digests: RequestDigests,
    pub(super) hashes: RequestHashes,
    pub(super) incarnation: Incarnation,
    pub(super) started_at: BootInstant,
    pub(super) ended_at: BootInstant,
    /// `false` if the call was cancelled.
    pub(super) lost_connection: bool,
    /// Whether the back end accepted a connection after this call lost its own. If so, only a newer
    /// incarnation under the same id shows that the back end crashed.
    pub(super) backend_reachable_after: bool,
}

impl UnansweredCall {
    /// Returns whether the call ended recently enough to be a suspect of a crash detected at `now`.
    pub(super) fn is_recent(&self, now: BootInstant) -> bool {
        let max_age = match self.lost_connection {
            true => MAX_LOST_CALL_AGE,
            false => MAX_CANCELLED_CALL_AGE,
        };
        now.saturating_duration_since(self.ended_at) < max_age
    }
}

/// Selects the suspects among the calls that a crash interrupted. A popular request is exempt, and its answers
/// are forgotten.
pub(super) fn select(
    mut calls: Vec<UnansweredCall>,
    answers: &mut RecentAnswers,
) -> InterruptedCalls {
    calls.sort_by_key(|call| Reverse(call.started_at));
    let mut interrupted = InterruptedCalls {
        calls: calls.len(),
        popular: 0,
        omitted: 0,
        suspects: Vec::new(),
    };
    let mut seen = HashSet::new();
    for call in &calls {
        let [content, with_caller] = call.digests.to_array();
        let identities = [
            (content, call.hashes.content),
            (with_caller, call.hashes.with_caller),
        ];
        for (digest, hash) in identities {
            if !seen.insert(digest) {
                continue;
            }
            if answers.take_popular(hash) {
                interrupted.popular += 1;
            } else if interrupted.suspects.len() < 2 * MAX_SUSPECT_CALLS {
                interrupted.suspects.push(digest);
            } else {
                interrupted.omitted += 1;
            }
        }
    }
    interrupted
}
