//! What an answer, or the want of one, says of a dispatched call: an answer to pass on, not run, or
//! unknown.
//!
//! **Rule.** A call counts as not run only if the back end says so and nothing contradicts it: the call
//! was never sent, or was refused by a back end that made no nested call for it. An answer whose status
//! callers read as "not run" without the back end saying so becomes a failure with an unknown outcome.
//!
//! **Inputs.** The status and header lines of the answer; whether the running call has made nested
//! calls, as this node saw them; the stage that a failed exchange got to.
//!
//! **Output.** The answer without hop-by-hop header lines, or a refusal with its outcome.
//!
//! **Why.** The caller of a request that has not run sends the same work again, so a wrong "not run"
//! makes a payment run twice.

use tallybridge_core::{ErrorKind, Refusal};

use crate::{
    http::{Answer, ExchangeError, ExchangeStage, Received},
    node::Node,
    protocol::CallMessage,
    tables::quarantine::DispatchEnd,
};

/// Room for the header lines of an answer, in bytes.
const HEADERS_CAPACITY: usize = 256;

/// Tells an answer from a refusal of the back end.
///
/// # Errors
///
/// A refusal: not run where the back end turned the call away before it began, unknown where it may
/// have run the call.
pub(super) fn judge(
    node: &Node,
    call: &CallMessage,
    instance: &str,
    received: Received,
) -> Result<Answer, Refusal> {
    let head = &received.head;
    let status = head.status;
    // A back end that made nested calls has begun. Its refusal is one that it got for such a call and
    // passes on as its own.
    let has_begun = node.has_called(&call.attempt);
    if is_misdirected(node, &received, instance) && !has_begun {
        node.instance_misdirected();
        let detail = "another instance has the address";
        return Err(Refusal::new(ErrorKind::NoBackend, detail));
    }
    let says_not_run = says_not_run(node, &received);
    if says_not_run && !has_begun {
        let detail = format!("back end refused with status {status}");
        return Err(Refusal::new(ErrorKind::BackendRefused, detail));
    }
    if says_not_run || promises_not_run(status) {
        let detail = format!("back end may have run the call that it answers with {status}");
        return Err(Refusal::new(ErrorKind::BackendFailed, detail));
    }
    let mut headers = Vec::with_capacity(HEADERS_CAPACITY);
    head.headers.write_end_to_end(&[], &mut headers);
    Ok(Answer {
        status,
        headers,
        body: received.body,
    })
}

/// The refusal for an exchange that failed: not run if nothing was sent, else unknown.
pub(super) fn exchange_refusal(node: &Node, error: &ExchangeError) -> Refusal {
    match error.stage {
        ExchangeStage::NotSent => {
            node.instance_unreachable();
            Refusal::new(ErrorKind::NoBackend, error.to_string())
        }
        ExchangeStage::Sent => Refusal::new(ErrorKind::BackendFailed, error.to_string()),
    }
}

/// How a failed exchange counts in the search for requests that crash back ends.
pub(super) const fn dispatch_end(stage: ExchangeStage) -> DispatchEnd {
    match stage {
        ExchangeStage::NotSent => DispatchEnd::NotRun,
        ExchangeStage::Sent => DispatchEnd::ConnectionLost,
    }
}

/// Whether another instance than the expected one turned a call away.
pub(super) fn is_misdirected(node: &Node, received: &Received, expected: &str) -> bool {
    let by = received.head.headers.text(node.header_names.instance);
    let is_by_other = by.is_some_and(|by| by != expected);
    received.head.status == 421 && (says_not_run(node, received) || is_by_other)
}

fn says_not_run(node: &Node, received: &Received) -> bool {
    received
        .head
        .headers
        .first(node.header_names.not_run)
        .is_some()
}

/// Whether callers take a status for the promise that a request has not run and never will. A back
/// end that gives it without saying so may have run the request, so it is not passed on.
const fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}
