//! A planned stop of a node cuts off no request in flight, neither at its entry nor beside its
//! back end.

use super::{Guarantee, History, Violation};
use crate::{
    fault::{Leave, LeaveCause},
    load::{RequestRecord, SendEnd, SendRecord},
    standin::backend::{Execution, ExecutionEnd},
};

/// Finds requests that a planned stop cut off.
pub fn check(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for leave in &history.faults.leaves {
        if leave.cause != LeaveCause::NodeStop {
            continue;
        }
        violations.extend(check_entry(history, leave));
        violations.extend(check_backend(history, leave));
    }
    violations
}

/// Requests that the stopped node had taken in and whose connection was lost.
fn check_entry<'a>(history: &'a History, leave: &'a Leave) -> impl Iterator<Item = Violation> + 'a {
    history.requests.iter().filter_map(|request| {
        let cut = request.sends.iter().any(|send| is_cut(leave, send));
        cut.then(|| {
            Violation::of_request(
                Guarantee::CutInFlight,
                request.request,
                format!(
                    "the connection to the entry beside {} was lost",
                    leave.backend
                ),
            )
        })
    })
}

fn is_cut(leave: &Leave, send: &SendRecord) -> bool {
    send.entry == leave.machine
        && send.sent_us < leave.began_us
        && send.ended_us >= leave.began_us
        && matches!(send.end, SendEnd::ConnectionLost { .. })
}

/// Calls that ran at the stop and were cancelled although their caller still waited.
fn check_backend<'a>(
    history: &'a History,
    leave: &'a Leave,
) -> impl Iterator<Item = Violation> + 'a {
    history
        .executions
        .iter()
        .filter(|execution| is_cancelled_by(leave, execution))
        .filter(|execution| {
            history
                .request(execution.place.request)
                .is_some_and(|request| caller_waited(request, execution))
        })
        .map(|execution| {
            Violation::of_request(
                Guarantee::CutInFlight,
                execution.place.request,
                format!("{} was cut off in its work", execution.backend),
            )
        })
}

fn is_cancelled_by(leave: &Leave, execution: &Execution) -> bool {
    execution.backend == leave.backend
        && execution.end == Some(ExecutionEnd::Cancelled)
        && execution
            .started_us
            .is_some_and(|started_us| started_us < leave.began_us)
        && execution
            .ended_us
            .is_some_and(|ended_us| ended_us >= leave.began_us)
}

/// Whether the request's caller was waiting, and had not just given up, when the execution ended.
fn caller_waited(request: &RequestRecord, execution: &Execution) -> bool {
    let ended_us = execution.ended_us.unwrap_or(u64::MAX);
    request
        .sends
        .iter()
        .all(|send| !matches!(send.end, SendEnd::TimedOut) || send.ended_us > ended_us)
}
