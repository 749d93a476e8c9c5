//! Exchange of one call with the back end over a pooled or a new connection.
//!
//! The exchange owns its connection and returns it to the pool
//! ([`node.backend`](crate::node::Node::backend)) after a complete answer. If a pooled connection
//! turns out to be closed before anything was sent, the exchange opens a new connection.

use std::sync::{Arc, atomic::Ordering};

use super::{liveness::confirm_still_running, verdict::is_misdirected};
use crate::{
    clock::BootInstant,
    http::{Checkout, ExchangeError, ExchangeStage, ReceivedResponse, write_line},
    node::Node,
    protocol::CallMessage,
    tables::Incarnation,
};

/// Answers to other requests that an exchange skips before it closes the connection.
const MAX_SKIPPED_ANSWERS: usize = 2;
/// Size in bytes that is reserved for the header lines that [`request_head`] adds.
const ADDED_LINES_CAPACITY: usize = 96;

/// Sends a call on a pooled connection, or on a new one, and returns the answer to that call.
///
/// # Errors
///
/// Returns an [`ExchangeError`] whose stage says whether the back end may have received the call.
pub(super) async fn exchange(
    node: &Arc<Node>,
    call: &CallMessage,
    instance: &str,
    deadline: BootInstant,
) -> Result<ReceivedResponse, ExchangeError> {
    if let Some(checkout) = node.backend.check_out() {
        match exchange_on(node, call, instance, deadline, checkout).await {
            // The back end had closed the pooled connection, and nothing was sent.
            Err(error) if error.stage == ExchangeStage::NotSent => {}
            result => return result,
        }
    }
    let checkout = node.backend.open().await?;
    node.counters.connections.fetch_add(1, Ordering::Relaxed);
    node.instance_reached();
    exchange_on(node, call, instance, deadline, checkout).await
}

/// Waits for an exchange until the back end restarts. Connections to the previous incarnation can
/// stay open without an answer, for example behind a network partition. The call may have run.
///
/// # Errors
///
/// Returns the error of the exchange, or an [`ExchangeError`] that reports the restart.
pub(super) async fn exchange_until_restart(
    node: &Node,
    incarnation: &Incarnation,
    exchange: impl Future<Output = Result<ReceivedResponse, ExchangeError>>,
) -> Result<ReceivedResponse, ExchangeError> {
    tokio::select! {
        biased;
        result = exchange => result,
        () = node.restarted_after(incarnation) => {
            Err(ExchangeError::aborted("back end restarted before it answered"))
        }
    }
}

async fn exchange_on(
    node: &Arc<Node>,
    call: &CallMessage,
    instance: &str,
    deadline: BootInstant,
    checkout: Checkout,
) -> Result<ReceivedResponse, ExchangeError> {
    let is_new_connection = !checkout.is_reused;
    let mut connection = checkout.connection;
    let request = request_head(node, call, instance, deadline);
    let answer = connection.exchange(&request, &call.body, call.is_head_request);
    let mut received = answer.await?;
    let mut skipped_answers = 0;
    while !is_answer_to(
        node,
        &received,
        call,
        instance,
        skipped_answers == 0 && is_new_connection,
    ) {
        // The back end sent another answer first; the answer to this call may follow on the connection.
        if skipped_answers == MAX_SKIPPED_ANSWERS || !received.is_persistent {
            return Err(ExchangeError::aborted(
                "back end answered a different request on the connection",
            ));
        }
        skipped_answers += 1;
        received = connection.next_response(call.is_head_request).await?;
    }
    if received.ended_by_close {
        confirm_still_running(node, instance).await?;
    }
    received.is_reusable &= skipped_answers == 0;
    node.backend.check_in(connection, &received);
    Ok(received)
}

/// Returns whether an answer belongs to a call. An answer without an attempt name may be a late
/// duplicate for an earlier request, so it does not count. The exception is the first answer on a new
/// connection, where another instance may refuse the call without the attempt name.
fn is_answer_to(
    node: &Node,
    received: &ReceivedResponse,
    call: &CallMessage,
    instance: &str,
    is_first_on_connection: bool,
) -> bool {
    match received.head.headers.first(node.header_names.attempt) {
        Some(attempt) => attempt == &call.attempt[..],
        None => is_first_on_connection && is_misdirected(node, received, instance),
    }
}

/// Builds the request head: the entry's lines, the remaining time and the expected instance.
fn request_head(node: &Node, call: &CallMessage, instance: &str, deadline: BootInstant) -> Vec<u8> {
    node.counters.executed.fetch_add(1, Ordering::Relaxed);
    let names = &node.header_names;
    let remaining = deadline.saturating_duration_since(BootInstant::now());
    let remaining = remaining.as_millis().max(1).to_string();
    let mut request = Vec::with_capacity(call.head.len() + ADDED_LINES_CAPACITY);
    request.extend_from_slice(&call.head);
    write_line(names.deadline_ms, remaining.as_bytes(), &mut request);
    write_line(names.expected_instance, instance.as_bytes(), &mut request);
    request.extend_from_slice(b"\r\n");
    request
}
