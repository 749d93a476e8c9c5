//! Retries, reroutes and giving up: what follows an attempt that gave no final answer.
//!
//! **Rule.** A call that no back end got goes to another executor at no cost (a *reroute*). A call that
//! a back end got goes to another one (a *retry*) only if it has not run for certain or may run again,
//! if fewer back ends than its route allows got it, and if the retry budget of its service pays. It is
//! given up when its deadline has passed, when its request is quarantined, when no executor is left, or
//! after `MAX_FURTHER_ATTEMPTS` further executors.
//!
//! **Inputs.** The refusal or answer of each attempt; whether the call is idempotent and urgent; the
//! most back ends that its route allows, from the configuration in force when the call came; the retry
//! budget ([`crate::tables::retries`]); the failure rates that executors report
//! ([outliers](crate::tables::PeerTable::is_outlier)); the quarantined requests that it knows of.
//!
//! **Output.** Whether to go on; in the end an answer, or a refusal whose outcome is "not run" only if
//! no attempt may have run, and "unknown" otherwise.
//!
//! **Why.** A retry is work that a back end does again while it may be overloaded, so it is bounded over
//! the whole fleet; a reroute cost no back end anything. A failure that a back end answers is final, as
//! a request that fails at a healthy back end fails at the next one too, unless its back end is an
//! outlier. Measured and not better: a retry of every failure, and a second attempt beside a late one,
//! over ten pairs of runs (`docs/DECISIONS.md`, `second_attempts`; what retries gain stands there
//! as `repeats`).

use std::{net::SocketAddr, sync::atomic::Ordering};

use tallybridge_core::{ErrorKind, Outcome, Refusal};
use tokio::time::Instant;

use super::{Answered, Call, Unanswered, placement_query};
use crate::{clock::BootInstant, http::Response, node::Node};

/// Most executors, besides the first, that one call is sent to: by reroutes and retries together. Origin
/// not recorded.
pub(super) const MAX_FURTHER_ATTEMPTS: usize = 4;

/// The attempts of one call so far.
pub(super) struct Attempts {
    tried: Vec<SocketAddr>,
    /// Back ends that got the call.
    back_ends: u32,
    may_have_run: bool,
    last_refusal: Refusal,
    /// The failure that an outlier answered: the call's answer, unless a later attempt does better.
    failure: Option<Answered>,
}

impl Attempts {
    /// None yet.
    pub(super) fn new() -> Self {
        Self {
            tried: Vec::new(),
            back_ends: 0,
            may_have_run: false,
            last_refusal: Refusal::new(ErrorKind::NoBackend, "no back end takes work"),
            failure: None,
        }
    }

    /// Executors that were tried.
    pub(super) fn tried(&self) -> &[SocketAddr] {
        &self.tried
    }

    /// Whether a back end got the call, so that a further attempt is a retry.
    pub(super) const fn have_dispatched(&self) -> bool {
        self.back_ends > 0
    }

    /// The call is sent to an executor.
    pub(super) fn begin(&mut self, executor: SocketAddr) {
        self.tried.push(executor);
    }

    /// An outlier answered with a failure.
    pub(super) fn record_failure(&mut self, answered: Answered) {
        self.may_have_run = true;
        self.failure = Some(answered);
    }

    /// An attempt ended without an answer. Returns whether a back end may have got the call.
    pub(super) fn record_refusal(&mut self, refusal: Refusal) -> bool {
        let has_dispatched = !is_undispatched(&refusal);
        self.may_have_run |= refusal.outcome != Outcome::NotRun;
        self.last_refusal = refusal;
        has_dispatched
    }

    /// Whether the call goes to another executor after an attempt, in which a back end got it or not.
    pub(super) fn continue_after(
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
        self.back_ends += 1;
        self.may_retry(node, call) && self.passes_quarantine(node, call)
    }

    /// Whether a call that a back end got may be sent to another one. The retry is then paid.
    fn may_retry(&self, node: &Node, call: &Call) -> bool {
        let may_run_twice = self.may_have_run && !call.message.is_idempotent;
        if !node.settings.policy.retries || may_run_twice {
            return false;
        }
        if self.back_ends >= call.route.max_attempts {
            return false;
        }
        let is_paid = node.withdraw_retry(&call.service, call.message.is_urgent);
        if is_paid {
            node.counters.retries.fetch_add(1, Ordering::Relaxed);
        }
        is_paid
    }

    /// Whether the request is still not quarantined: the back end that it was sent to may be one of
    /// several that crashed under it. The refusal is kept as the last one.
    fn passes_quarantine(&mut self, node: &Node, call: &Call) -> bool {
        match node.refuse_quarantined(&call.message) {
            Ok(()) => true,
            Err(refusal) => {
                self.last_refusal = refusal;
                false
            }
        }
    }

    /// How the call ends after its last attempt.
    pub(super) fn into_result(self) -> Result<Answered, Unanswered> {
        if let Some(failure) = self.failure {
            return Ok(failure);
        }
        let refusal = if self.may_have_run {
            self.last_refusal.with_outcome(Outcome::Unknown)
        } else {
            self.last_refusal
        };
        Err(Unanswered {
            tried: self.tried.len(),
            refusal,
        })
    }
}

/// Whether an answer is a failure that says more of its back end than of the call, which may run again:
/// that back end fails far more calls than others of its service, so another one may well succeed.
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

/// Whether a refusal means that no back end got the call.
pub(super) fn is_undispatched(refusal: &Refusal) -> bool {
    refusal.outcome == Outcome::NotRun && refusal.kind != ErrorKind::BackendRefused
}
