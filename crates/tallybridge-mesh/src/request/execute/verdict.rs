//! Classifies the result of a dispatched call: an answer to pass on, not run, or unknown.
//!
//! Callers send a request that has not run again, so a wrong "not run" could run a payment twice. A
//! call therefore counts as not run only if nothing was sent, or if the back end says so and made no
//! nested call for it. An answer whose status implies "not run" without the header that confirms it
//! becomes a failure with an unknown outcome.

use tallybridge_core::{ErrorKind, Refusal};

use crate::{
    http::{ExchangeError, ExchangeStage, ReceivedResponse, Response},
    node::Node,
    protocol::CallMessage,
    tables::quarantine::DispatchEnd,
};

/// Initial size of the buffer for the header lines of an answer, in bytes.
const HEADERS_CAPACITY: usize = 256;

/// Returns the answer to pass on, without hop-by-hop headers.
///
/// # Errors
///
/// Returns a refusal with the outcome "not run" if the back end refused the call before running it,
/// and "unknown" if the call may have run.
pub(super) fn classify_answer(
    node: &Node,
    call: &CallMessage,
    instance: &str,
    received: ReceivedResponse,
) -> Result<Response, Refusal> {
    let head = &received.head;
    let status = head.status;
    // A back end that made nested calls has run the call at least in part. The "not run" header
    // then comes from a refused nested call whose answer the back end passed on.
    let made_nested_call = node.has_called(&call.attempt);
    if is_misdirected(node, &received, instance) && !made_nested_call {
        node.instance_misdirected();
        let detail = "another instance answers at the address of the back end";
        return Err(Refusal::new(ErrorKind::NoBackend, detail));
    }
    let has_not_run_header = has_not_run_header(node, &received);
    if has_not_run_header && !made_nested_call {
        let detail = format!("back end refused with status {status}");
        return Err(Refusal::new(ErrorKind::BackendRefused, detail));
    }
    if has_not_run_header || implies_not_run(status) {
        let detail = format!("back end answered with status {status} but may have run the call");
        return Err(Refusal::new(ErrorKind::BackendFailed, detail));
    }
    let mut headers = Vec::with_capacity(HEADERS_CAPACITY);
    head.headers.write_end_to_end(&[], &mut headers);
    Ok(Response {
        status,
        headers,
        body: received.body,
    })
}

/// Converts a failed exchange to a refusal: not run if nothing was sent, otherwise unknown.
pub(super) fn exchange_refusal(node: &Node, error: &ExchangeError) -> Refusal {
    match error.stage {
        ExchangeStage::NotSent => {
            node.instance_unreachable();
            Refusal::new(ErrorKind::NoBackend, error.to_string())
        }
        ExchangeStage::Sent => Refusal::new(ErrorKind::BackendFailed, error.to_string()),
    }
}

/// Returns how crash detection counts a failed exchange.
pub(super) const fn dispatch_end(stage: ExchangeStage) -> DispatchEnd {
    match stage {
        ExchangeStage::NotSent => DispatchEnd::NotRun,
        ExchangeStage::Sent => DispatchEnd::ConnectionLost,
    }
}

/// Returns whether an instance other than the expected one refused the call.
pub(super) fn is_misdirected(node: &Node, received: &ReceivedResponse, expected: &str) -> bool {
    let instance = received.head.headers.text(node.header_names.instance);
    let is_other_instance = instance.is_some_and(|instance| instance != expected);
    received.head.status == 421 && (has_not_run_header(node, received) || is_other_instance)
}

fn has_not_run_header(node: &Node, received: &ReceivedResponse) -> bool {
    received
        .head
        .headers
        .first(node.header_names.not_run)
        .is_some()
}

/// Returns whether callers read a status as a promise that the request has not run. Such a status
/// must not be passed on without the header that confirms it.
const fn implies_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}
