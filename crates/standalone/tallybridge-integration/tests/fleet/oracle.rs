//! What must hold, judged by what callers and back ends saw.

use std::{collections::BTreeMap, time::Duration};

use tallybridge_core::{ErrorKind, Outcome};
use tokio::time::Instant;

use super::history::{Call, End, Execution, Finish, History, Kind, RETRY_ALLOWANCE};

/// Time after which a leaving back end gets no new work.
const LEAVE_BOUND: Duration = Duration::from_secs(3);
/// Faults this long before an event may still show.
const AFTERMATH: Duration = Duration::from_secs(5);
/// Status by which a back end says that a service behind it failed.
pub const FAILED_BEHIND: u16 = 502;

pub fn check(history: &History) {
    executions_stay_within_the_allowance(history);
    payments_run_at_most_once(history);
    answers_are_whole_and_the_callers_own(history);
    not_run_is_true(history);
    leaving_back_ends_get_no_new_work(history);
    planned_stops_cut_nothing(history);
    payments_are_shed_last(history);
    revisions_never_go_back(history);
}

fn executions_by_position(history: &History) -> BTreeMap<(Kind, u64, usize), usize> {
    let mut counts = BTreeMap::new();
    for execution in &history.executions {
        let position = (execution.kind, execution.request, execution.position);
        *counts.entry(position).or_default() += 1;
    }
    counts
}

fn executions_stay_within_the_allowance(history: &History) {
    for (position, count) in executions_by_position(history) {
        assert!(
            count <= 1 + RETRY_ALLOWANCE,
            "retries: {position:?} ran {count} times"
        );
    }
}

fn payments_run_at_most_once(history: &History) {
    for (position, count) in executions_by_position(history) {
        assert!(
            position.0 != Kind::Payment || count <= 1,
            "at most once: {position:?} ran {count} times"
        );
    }
}

fn answers_are_whole_and_the_callers_own(history: &History) {
    for call in &history.calls {
        let Some((_, End::Answered { status, body })) = &call.end else {
            continue;
        };
        let right = match *status {
            200 => *body == call.kind.answer(call.position, call.request),
            FAILED_BEHIND => body.as_ref() == call.request.to_be_bytes(),
            _ => false,
        };
        assert!(right, "answer: {status}, {} bytes, of {call:?}", body.len());
    }
}

/// Nothing of the request ran before the caller was told so; what runs later belongs to another
/// attempt that was open then. Where the network holds answers back, another attempt may start to
/// run while the answer is on its way: then nothing may have run before the call began.
fn not_run_is_true(history: &History) {
    for call in &history.calls {
        let Some((told, end)) = &call.end else {
            continue;
        };
        let is_not_run = matches!(
            end,
            End::Refused {
                outcome: Outcome::NotRun,
                ..
            }
        );
        if !is_not_run {
            continue;
        }
        let held_back = history.disturbed(call.began, *told);
        let since = if held_back { call.began } else { *told };
        let of_call = |execution: &&Execution| {
            execution.request == call.request && execution.position >= call.position
        };
        for execution in history.executions.iter().filter(of_call) {
            // At the same instant either may have come first.
            let is_true = execution.began >= since && runs_for_another(history, execution, call);
            assert!(is_true, "not-run: {call:?} but {execution:?}");
        }
    }
}

/// Whether an execution may be of another attempt than `call`: of one that is still open when it
/// begins, or whose caller was not told that it had ended for good.
fn runs_for_another(history: &History, execution: &Execution, call: &Call) -> bool {
    history.calls.iter().any(|other| {
        let may_run = match &other.end {
            None | Some((_, End::Disconnected)) => true,
            Some((_, End::Refused { outcome, .. })) if *outcome != Outcome::NotRun => true,
            Some((ended, _)) => *ended >= execution.began,
        };
        other.request == call.request
            && !std::ptr::eq(other, call)
            && other.position <= execution.position
            && other.began <= execution.began
            && may_run
    })
}

fn leaving_back_ends_get_no_new_work(history: &History) {
    for leaving in &history.leaving {
        for execution in &history.executions {
            let late = (execution.node, execution.run) == (leaving.node, leaving.run)
                && execution.began > leaving.at + LEAVE_BOUND;
            assert!(
                !late || history.disturbed(leaving.at - AFTERMATH, execution.began),
                "leaving: {leaving:?} but {execution:?}"
            );
        }
    }
}

/// A stop ends with nothing left, cancels nothing, and the callers of what it had in flight get an
/// answer or a refusal. Faults of the network and callers that give up excuse a cut.
fn planned_stops_cut_nothing(history: &History) {
    for stop in &history.stops {
        let Some((ended, whole)) = stop.end else {
            continue;
        };
        if history.disturbed(stop.began - AFTERMATH, ended) {
            continue;
        }
        assert!(whole, "stop: {stop:?} cut calls off");
        for execution in &history.executions {
            let gave_up = |call: &Call| call.request == execution.request && call.gave_up;
            let cancelled = matches!(execution.finish,
                Some((at, Finish::Cancelled)) if at >= stop.began && at <= ended);
            let excused = execution.node != stop.node
                || history.calls.iter().any(gave_up)
                || deadline_passed(history, execution.request);
            assert!(
                !cancelled || excused,
                "stop: {stop:?} cancelled {execution:?}"
            );
        }
        for call in &history.calls {
            if call.began >= ended || call.gave_up {
                continue;
            }
            let Some((at, end)) = &call.end else {
                let entered_there = call.entry == stop.node && call.position == 0;
                assert!(!entered_there, "stop: {stop:?} left {call:?} unanswered");
                continue;
            };
            let cut = matches!(
                end,
                End::Refused {
                    kind: ErrorKind::PeerLost | ErrorKind::Internal,
                    outcome: Outcome::Unknown,
                    ..
                }
            );
            let during = *at >= stop.began && *at <= ended;
            assert!(!(cut && during), "stop: {stop:?} cut {call:?}");
        }
    }
}

fn deadline_passed(history: &History, request: u64) -> bool {
    history.calls.iter().any(|call| {
        let timed_out = |kind| {
            matches!(
                kind,
                ErrorKind::BackendTimeout | ErrorKind::DeadlineExceeded
            )
        };
        call.request == request
            && matches!(&call.end, Some((_, End::Refused { kind, .. })) if timed_out(*kind))
    })
}

/// The last service has one back end, so its calls wait in one queue. While a payment waits there
/// no lesser call gets a slot, and one that waited when a payment was shed gets none after it.
fn payments_are_shed_last(history: &History) {
    let last = Kind::Payment.chain().len() - 1;
    let at_last = |call: &&Call| call.position == last;
    let payments = history.calls.iter().filter(at_last);
    for payment in payments.filter(|call| call.kind == Kind::Payment) {
        let Some((ended, end)) = &payment.end else {
            continue;
        };
        let shed = matches!(
            end,
            End::Refused {
                kind: ErrorKind::Overloaded,
                ..
            }
        ) && !history.shed.contains(&payment.request);
        let waited_until = first_execution(history, payment).unwrap_or(*ended);
        if history.disturbed(payment.began - AFTERMATH, *ended) {
            continue;
        }
        for lesser in history.calls.iter().filter(at_last) {
            let Some(granted) = first_execution(history, lesser) else {
                continue;
            };
            let overtook = granted > payment.began && granted < waited_until;
            let outlived = shed && lesser.began < *ended && granted > *ended;
            assert!(
                lesser.kind == Kind::Payment || !(overtook || outlived),
                "shed last: {payment:?} but {lesser:?} granted at {granted:?}"
            );
        }
    }
}

/// When the first execution of a call's request at the call's position began.
fn first_execution(history: &History, call: &Call) -> Option<Instant> {
    let of_call = |execution: &&Execution| {
        (execution.request, execution.position) == (call.request, call.position)
    };
    let executions = history.executions.iter().filter(of_call);
    executions.map(|execution| execution.began).min()
}

fn revisions_never_go_back(history: &History) {
    let mut newest = BTreeMap::new();
    for (node, run, revision) in &history.revisions {
        let newest = newest.entry((node, run)).or_insert(revision);
        assert!(
            revision >= *newest,
            "revision: {node} run {run} went back to {revision}"
        );
        *newest = revision;
    }
}
