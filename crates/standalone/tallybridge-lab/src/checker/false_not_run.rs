//! A request refused as `not-run` ran nowhere: no call of its chain did any work before the
//! refusal, or after it until the caller sent the request again.

use super::{Guarantee, History, Violation};
use crate::load::{RequestRecord, SendEnd};
use tallybridge_core::Outcome;

/// Finds refusals as `not-run` of requests that ran.
pub fn check(history: &History) -> Vec<Violation> {
    history
        .requests
        .iter()
        .filter_map(|request| check_request(history, request))
        .collect()
}

fn check_request(history: &History, request: &RequestRecord) -> Option<Violation> {
    for (number, send) in request.sends.iter().enumerate() {
        let SendEnd::Refused {
            outcome: Some(Outcome::NotRun),
            ..
        } = send.end
        else {
            continue;
        };
        let until_us = request
            .sends
            .get(number + 1)
            .map_or(u64::MAX, |next| next.sent_us);
        let ran = history
            .executions_of(request.request)
            .find(|execution| execution.started_us.is_some_and(|at_us| at_us < until_us));
        if let Some(execution) = ran {
            return Some(Violation::of_request(
                Guarantee::FalseNotRun,
                request.request,
                format!(
                    "sending {number} was refused as not-run, but {} ran position {}",
                    execution.backend, execution.place.position
                ),
            ));
        }
    }
    None
}
