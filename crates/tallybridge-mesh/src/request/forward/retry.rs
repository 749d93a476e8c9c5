//! Decides what follows an attempt without a final answer: a reroute, a retry or the end of the call.
//!
//! A *reroute* sends a call that no back end received to another executor, and needs no budget. A
//! *retry* sends a call that a back end received to another one. Retries repeat work on back ends
//! that may be overloaded, so a retry requires that the call has not run or is idempotent, that the
//! route's `max_attempts` is not reached, and that the retry budget of the service
//! ([`crate::tables::retries`]) covers it. The call also ends at its deadline, when its request is
//! quarantined, or after `MAX_FURTHER_ATTEMPTS` further executors.
//!
//! An error answer of the back end is final, because the call would usually fail at other back ends
//! as well. An idempotent call that fails at an
//! [outlier](crate::tables::PeerTable::is_outlier) is the exception. The outcome of the call is "not
//! run" only if no attempt may have run.

use std::{net::SocketAddr, sync::atomic::Ordering};

use tallybridge_core::{ErrorKind, Outcome, Refusal};
use tokio::time::Instant;

use super::{Call, ExecutedCall, ForwardError, placement_query};
use crate::{clock::BootInstant, http::Response, node::Node};

/// Maximum number of executors after the first, for reroutes and retries together.
pub(super) const MAX_FURTHER_ATTEMPTS: usize = 4;

/// State of one call over its attempts.
pub(super) struct Attempts {
    tried: Vec<SocketAddr>,
    /// Number of back ends that received the call.
    dispatch_count: u32,
    may_have_run: bool,
    /// Whether the last attempt lost its back end, and the request was a suspect of a crash before.
    may_have_crashed_again: bool,
    last_refusal: Refusal,
    /// Error answer of an outlier; becomes the result unless a later attempt succeeds.
    outlier_failure: Option<ExecutedCall>,
}

impl Attempts {
    pub(super) fn new() -> Self {
        Self {
            tried: Vec::new(),
            dispatch_count: 0,
            may_have_run: false,
            may_have_crashed_again: false,
            last_refusal: Refusal::new(ErrorKind::NoBackend, "no back end accepts work"),
            outlier_failure: None,
        }
    }

    pub(super) fn tried(&self) -> &[SocketAddr] {
        &self.tried
    }

    /// Returns whether a back end received the call, so that a further attempt is a retry.
    pub(super) const fn has_dispatched_before(&self) -> bool {
        self.dispatch_count > 0
    }

    /// Records that the call is sent to an executor.
    pub(super) fn start(&mut self, executor: SocketAddr) {
        self.tried.push(executor);
    }

    /// Records an error answer of an outlier.
    pub(super) fn record_failure(&mut self, executed: ExecutedCall) {
        self.may_have_run = true;
        self.outlier_failure = Some(executed);
    }

    /// Records an attempt that ended without an answer. `was_suspect` says whether the request was a
    /// suspect of a crash when the attempt began. Returns whether a back end may have received the
    /// call.
    pub(super) fn record_refusal(&mut self, refusal: Refusal, was_suspect: bool) -> bool {
        let has_dispatched = !is_undispatched(&refusal);
        let is_back_end_lost =
            refusal.kind == ErrorKind::BackendFailed && refusal.outcome == Outcome::Unknown;
        self.may_have_crashed_again = was_suspect && is_back_end_lost;
        self.may_have_run |= refusal.outcome != Outcome::NotRun;
        self.last_refusal = refusal;
        has_dispatched
    }

    /// Returns whether the call goes to another executor. `has_dispatched` says whether a back end
    /// received the call in the last attempt.
    pub(super) fn should_continue(
        &mut self,
        node: &Node,
        call: &Call,
        has_dispatched: bool,
    ) -> bool {
        let is_quarantined = self.last_refusal.kind == ErrorKind::Quarantined;
        if BootInstant::now() >= call.deadline || is_quarantined {
            return false;
        }
        if !has_dispatched {
            return true;
        }
        self.dispatch_count += 1;
        self.authorize_retry(node, call) && self.passes_quarantine_check(node, call)
    }

    /// Returns whether a call that a back end received may be retried. If so, withdraws the retry from
    /// the budget.
    fn authorize_retry(&self, node: &Node, call: &Call) -> bool {
        let is_unsafe_to_repeat = self.may_have_run && !call.message.is_idempotent;
        // A second crash becomes known only after the retry would have begun, which must wait until
        // the store holds both.
        let is_unsafe_to_repeat = is_unsafe_to_repeat || self.may_have_crashed_again;
        if !node.settings.policy.retries || is_unsafe_to_repeat {
            return false;
        }
        if self.dispatch_count >= call.route.max_attempts {
            return false;
        }
        let is_within_budget = node.withdraw_retry(&call.service, call.message.is_urgent);
        if is_within_budget {
            node.counters.retries.fetch_add(1, Ordering::Relaxed);
        }
        is_within_budget
    }

    /// Returns whether the request is not quarantined. The last attempt may have crashed the back end
    /// and put the request into quarantine; the refusal then becomes the last one.
    fn passes_quarantine_check(&mut self, node: &Node, call: &Call) -> bool {
        match node.refuse_quarantined(&call.message) {
            Ok(()) => true,
            Err(refusal) => {
                self.last_refusal = refusal;
                false
            }
        }
    }

    /// Returns the result of the call after its last attempt.
    pub(super) fn into_result(self) -> Result<ExecutedCall, ForwardError> {
        if let Some(outlier_failure) = self.outlier_failure {
            return Ok(outlier_failure);
        }
        let refusal = if self.may_have_run {
            self.last_refusal.with_outcome(Outcome::Unknown)
        } else {
            self.last_refusal
        };
        Err(ForwardError {
            executors_tried: self.tried.len(),
            refusal,
        })
    }
}

/// Returns whether an idempotent call failed at a back end that is an outlier. Another back end is
/// then likely to answer the call.
pub(super) fn is_failure_of_outlier(
    node: &Node,
    call: &Call,
    executor: SocketAddr,
    answer: &Response,
) -> bool {
    let is_failure = answer.status >= 500;
    if !is_failure || !call.message.is_idempotent {
        return false;
    }
    let query = placement_query(node, call, &[]);
    node.with_peers(|peers| peers.is_outlier(&query, executor, Instant::now()))
}

/// Returns whether a refusal means that no back end received the call.
pub(super) fn is_undispatched(refusal: &Refusal) -> bool {
    refusal.outcome == Outcome::NotRun && refusal.kind != ErrorKind::BackendRefused
}
