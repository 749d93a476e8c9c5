//! A success that a caller, or a back end for its nested call, got is the whole right answer.

use super::{Guarantee, History, Violation};
use crate::{load::SendEnd, standin::backend::ExecutionEnd};

/// Finds answers with the wrong content.
pub fn check(history: &History) -> Vec<Violation> {
    let callers = history.requests.iter().flat_map(|request| {
        request.sends.iter().filter_map(|send| match &send.end {
            SendEnd::Answered {
                right: false,
                bytes,
                digest,
            } => Some(Violation::of_request(
                Guarantee::WrongAnswer,
                request.request,
                format!("the caller got {bytes} bytes of digest {digest:016x}"),
            )),
            _ => None,
        })
    });
    let backends = history
        .executions
        .iter()
        .filter(|execution| execution.end == Some(ExecutionEnd::NestedWrong))
        .map(|execution| {
            Violation::of_request(
                Guarantee::WrongAnswer,
                execution.place.request,
                format!("a nested call of {} got wrong content", execution.backend),
            )
        });
    callers.chain(backends).collect()
}
