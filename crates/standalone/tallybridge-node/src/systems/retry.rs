//! Whether and where a call is tried again after an attempt has ended without an answer.

use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use tallybridge_config::RetryOn;
use tallybridge_core::{ErrorKind, LoadReport, NodeId, Outcome, Refusal};
use tallybridge_limits::Budget;
use tallybridge_overload::Backoff;
use tallybridge_routing::{AttemptResult, NoEndpoint};

use crate::tables::{
    Tables,
    admission::Admission,
    calls::{Call, CallId},
    executions::ExecutionTable,
};

/// Where the next attempt of a call goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Route {
    /// The executing node.
    pub node: NodeId,
    /// Number of the attempt, from 1.
    pub attempt: u16,
    /// Whether an earlier attempt of the call, or of one above it, may have run.
    pub repeated: bool,
    /// Retries lent to it for nested calls.
    pub allowance: u8,
}

/// How an attempt ended, as the entry node saw it.
#[derive(Debug, Clone)]
pub enum AttemptEnd {
    /// The back end answered.
    Answered {
        /// The back end's HTTP status.
        status: u16,
        /// Load of the executing node.
        load: LoadReport,
        /// Retries of those lent that were not spent.
        unused_allowance: u8,
    },
    /// The executing node refused, or its back end failed.
    Refused {
        /// Why.
        refusal: Refusal,
        /// Whether the call was handed to the back end, whatever came of it.
        reached_backend: bool,
        /// Load of the executing node.
        load: LoadReport,
        /// Retries of those lent that were not spent.
        unused_allowance: u8,
    },
    /// The peer could not be reached, so nothing ran.
    NotSent(Refusal),
    /// The peer was lost with the call; what it was lent is spent.
    Lost(Refusal),
    /// The caller gave up.
    Cancelled,
}

/// What to do after an attempt has ended.
#[derive(Debug, Clone)]
pub enum Next {
    /// The answer can go to the caller.
    Answer,
    /// Another attempt is made at once.
    Retry(Route),
    /// Another attempt is made after a wait; its node is chosen then.
    Wait(Duration),
    /// The call is refused.
    Refuse(Refusal),
}

/// Times that a call may be sent elsewhere after a node refused it before its back end saw it.
/// Such a refusal costs no work, so it is not taken from the retry allowance, but it is bounded.
const MAX_REROUTES: u8 = 2;

const BACKOFF: Backoff = Backoff {
    base: Duration::from_millis(10),
    max: Duration::from_millis(250),
};

/// Chooses the node of a call's next attempt.
///
/// # Errors
///
/// The refusal of the call when no node can take it.
pub fn choose_route(tables: &mut Tables, id: CallId, now: Instant) -> Result<Route, Refusal> {
    let call = tables.calls.get_mut(id).ok_or_else(call_is_gone)?;
    let chosen = tables
        .endpoints
        .choose(&call.service, &call.excluded, now, &mut tables.rng);
    let node = chosen.map_err(|reason| no_endpoint(call, reason))?;
    call.attempts += 1;
    if call.attempts == 1 {
        tables.retry_budget.deposit(now);
    }
    call.lent_to_attempt = call.allowance.lend();
    call.chosen = now;
    Ok(Route {
        node,
        attempt: call.attempts,
        repeated: call.may_have_run,
        allowance: call.lent_to_attempt,
    })
}

fn no_endpoint(call: &Call, reason: NoEndpoint) -> Refusal {
    let kind = match reason {
        NoEndpoint::UnknownService => ErrorKind::UnknownService,
        NoEndpoint::AllExcluded => ErrorKind::NoBackend,
        NoEndpoint::AllLeaving => ErrorKind::Leaving,
    };
    let refusal = Refusal::new(kind, format!("service {}: {reason}", call.service));
    with_call_outcome(refusal, call)
}

/// Takes in how an attempt ended and decides what comes next.
pub fn attempt_ended(
    tables: &mut Tables,
    id: CallId,
    node: NodeId,
    end: AttemptEnd,
    now: Instant,
) -> Next {
    let Some(call) = tables.calls.get_mut(id) else {
        return Next::Refuse(call_is_gone());
    };
    let latency = now.saturating_duration_since(call.chosen);
    tables
        .endpoints
        .finish(node, routing_result(&end, latency), now);
    settle_allowance(call, &end);
    if let AttemptEnd::Answered { load, .. } | AttemptEnd::Refused { load, .. } = &end {
        let template = call.policy.template.clone();
        tables.early_refusal.record(template, node, load, now);
        record_downstream(&tables.executions, &mut tables.admission, call, load, now);
    }
    let refusal = match end {
        AttemptEnd::Answered { .. } => return Next::Answer,
        AttemptEnd::Cancelled => return Next::Refuse(cancelled(call)),
        AttemptEnd::Refused {
            refusal,
            reached_backend,
            ..
        } => {
            call.may_have_run |= refusal.outcome != Outcome::NotRun;
            let permitted = if refusal.outcome != Outcome::NotRun {
                may_run_again(call, &refusal, &mut tables.retry_budget, now)
            } else if reached_backend {
                may_spend(call, &mut tables.retry_budget, now)
            } else {
                may_reroute(call, &refusal, &mut tables.retry_budget, now)
            };
            (refusal, permitted)
        }
        AttemptEnd::NotSent(refusal) => {
            let permitted = may_reroute(call, &refusal, &mut tables.retry_budget, now);
            (refusal, permitted)
        }
        AttemptEnd::Lost(refusal) => {
            call.may_have_run = true;
            let permitted = may_run_again(call, &refusal, &mut tables.retry_budget, now);
            (refusal, permitted)
        }
    };
    let (refusal, permitted) = refusal;
    call.excluded.push(node);
    let final_refusal = with_call_outcome(refusal, call);
    if !permitted {
        return Next::Refuse(final_refusal);
    }
    let Some(delay) = retry_delay(call, &mut tables.rng, now) else {
        return Next::Refuse(final_refusal);
    };
    if !delay.is_zero() {
        return Next::Wait(delay);
    }
    match choose_route(tables, id, now) {
        Ok(route) => Next::Retry(route),
        Err(_) => Next::Refuse(final_refusal),
    }
}

/// Notes the level that a nested call met for the call that made it.
fn record_downstream(
    executions: &ExecutionTable,
    admission: &mut Admission,
    call: &Call,
    load: &LoadReport,
    now: Instant,
) {
    let parent = call.parent.and_then(|parent| executions.get(parent));
    if let Some(parent) = parent {
        let level = load.admitted_from;
        admission.downstream.record(&parent.template, level, now);
    }
}

/// The refusal of a call whose caller gave up between two attempts.
pub fn abandoned(tables: &mut Tables, id: CallId) -> Refusal {
    tables
        .calls
        .get_mut(id)
        .map_or_else(call_is_gone, |call| cancelled(call))
}

/// Gives back what an attempt was lent and did not spend. What was lost with its answer is spent.
fn settle_allowance(call: &mut Call, end: &AttemptEnd) {
    let unused = match end {
        AttemptEnd::Answered {
            unused_allowance, ..
        }
        | AttemptEnd::Refused {
            unused_allowance, ..
        } => *unused_allowance,
        AttemptEnd::NotSent(_) => call.lent_to_attempt,
        AttemptEnd::Lost(_) | AttemptEnd::Cancelled => 0,
    };
    call.allowance.give_back(unused, call.lent_to_attempt);
    call.lent_to_attempt = 0;
}

/// Another run of a call that may have run.
fn may_run_again(call: &mut Call, refusal: &Refusal, budget: &mut Budget, now: Instant) -> bool {
    call.policy.idempotent
        && !is_final(refusal.kind)
        && call.policy.retry_on == RetryOn::Unknown
        && may_spend(call, budget, now)
}

/// Whether a refusal would be the same at any other node: it comes from the key's claims.
const fn is_final(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::AlreadyClaimed
            | ErrorKind::RetryAllowanceSpent
            | ErrorKind::KeyOutsideWindow
            | ErrorKind::NoQuorum
    )
}

/// Another attempt that reaches a back end: it costs one of the request's retries, and one of the
/// fleet's.
fn may_spend(call: &mut Call, budget: &mut Budget, now: Instant) -> bool {
    call.policy.retry_on != RetryOn::Never
        && call.allowance.remaining() > 0
        && budget.withdraw(now)
        && call.allowance.spend()
}

/// Another node for a call that no back end has seen.
fn may_reroute(call: &mut Call, refusal: &Refusal, budget: &mut Budget, now: Instant) -> bool {
    let worth_it = match refusal.kind {
        ErrorKind::Leaving
        | ErrorKind::NoBackend
        | ErrorKind::PeerLost
        | ErrorKind::NoConfiguration => true,
        // Sending shed work round the fleet would multiply the overload that it was shed for.
        ErrorKind::Overloaded => budget.withdraw(now),
        _ => false,
    };
    if !worth_it || call.policy.retry_on == RetryOn::Never || call.reroutes == MAX_REROUTES {
        return false;
    }
    call.reroutes += 1;
    true
}

/// No wait after a refusal that cost no work; exponential backoff with jitter otherwise.
fn retry_delay(call: &Call, rng: &mut SmallRng, now: Instant) -> Option<Duration> {
    if call.may_have_run {
        let retries = u32::from(call.attempts).saturating_sub(1);
        BACKOFF.within(retries, now, call.deadline, rng)
    } else {
        (call.deadline > now).then_some(Duration::ZERO)
    }
}

/// A refusal says `not-run` only when no attempt of the call may have run.
fn with_call_outcome(refusal: Refusal, call: &Call) -> Refusal {
    if call.may_have_run {
        refusal.with_outcome(Outcome::Unknown)
    } else {
        refusal
    }
}

fn cancelled(call: &Call) -> Refusal {
    let refusal = Refusal::new(ErrorKind::Cancelled, "the caller gave up");
    with_call_outcome(refusal, call)
}

fn call_is_gone() -> Refusal {
    Refusal::new(ErrorKind::Internal, "the call is not in the table")
}

/// Statuses by which a back end says that a service behind it failed; they say nothing against it.
const STATUSES_OF_A_SERVICE_BEHIND: [u16; 2] = [502, 504];
/// First status by which a back end says that it failed.
const FIRST_FAILURE_STATUS: u16 = 500;

fn routing_result(end: &AttemptEnd, latency: Duration) -> AttemptResult {
    match end {
        AttemptEnd::Answered { status, .. } if is_own_failure(*status) => AttemptResult::Failed,
        AttemptEnd::Answered { load, .. } => AttemptResult::Answered {
            latency,
            load: *load,
        },
        AttemptEnd::Refused { refusal, load, .. }
            if refusal.outcome == Outcome::NotRun || is_final(refusal.kind) =>
        {
            AttemptResult::RefusedNotRun { load: Some(*load) }
        }
        AttemptEnd::Refused { .. } | AttemptEnd::Lost(_) | AttemptEnd::NotSent(_) => {
            AttemptResult::Failed
        }
        AttemptEnd::Cancelled => AttemptResult::Cancelled,
    }
}

fn is_own_failure(status: u16) -> bool {
    status >= FIRST_FAILURE_STATUS && !STATUSES_OF_A_SERVICE_BEHIND.contains(&status)
}
