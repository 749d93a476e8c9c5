//! One exchange of a call with the back end: on a pooled connection or a new one, until the answer to
//! this very call is read.
//!
//! Owns the connection while it lasts and returns it to [`node.backend`](crate::node::Node::backend)
//! after a complete answer. A pooled connection that the back end had closed is replaced by a new one:
//! nothing was sent on it.

use std::sync::{Arc, atomic::Ordering};

use super::verdict::is_misdirected;
use crate::{
    clock::BootInstant,
    http::{Checkout, ExchangeError, ExchangeStage, Received, write_line},
    node::Node,
    protocol::CallMessage,
    tables::Incarnation,
};

/// Answers to other requests that are read past on one connection before it is given up. Origin not
/// recorded.
const MAX_SURPLUS: usize = 2;
/// Room for the header lines that [`request_bytes`] adds, in bytes.
const ADDED_LINES_CAPACITY: usize = 96;

/// Sends a call on a pooled connection, or on a new one, and reads its own answer.
///
/// # Errors
///
/// [`ExchangeError`], whose stage says whether the back end may have got the call.
pub(super) async fn exchange(
    node: &Arc<Node>,
    call: &CallMessage,
    instance: &str,
    deadline: BootInstant,
) -> Result<Received, ExchangeError> {
    if let Some(checkout) = node.backend.check_out() {
        match exchange_on(node, call, instance, deadline, checkout).await {
            // The back end had closed the connection: nothing was sent.
            Err(error) if error.stage == ExchangeStage::NotSent => {}
            result => return result,
        }
    }
    let checkout = node.backend.open().await?;
    node.counters.connections.fetch_add(1, Ordering::Relaxed);
    node.instance_reached();
    exchange_on(node, call, instance, deadline, checkout).await
}

/// An exchange with one start of the back end. Once that start is over nothing will answer: behind a
/// network cut its connections stay open in silence. The call may have run.
///
/// # Errors
///
/// [`ExchangeError`] of the exchange, or one that says that the back end has started again.
pub(super) async fn unless_restarted(
    node: &Node,
    incarnation: &Incarnation,
    exchanging: impl Future<Output = Result<Received, ExchangeError>>,
) -> Result<Received, ExchangeError> {
    tokio::select! {
        biased;
        exchanged = exchanging => exchanged,
        () = node.restarted_after(incarnation) => {
            Err(ExchangeError::given_up("back end has started again"))
        }
    }
}

async fn exchange_on(
    node: &Arc<Node>,
    call: &CallMessage,
    instance: &str,
    deadline: BootInstant,
    checkout: Checkout,
) -> Result<Received, ExchangeError> {
    let is_new = !checkout.is_reused;
    let mut connection = checkout.connection;
    let request = request_bytes(node, call, instance, deadline);
    let sent = connection.exchange(&request, &call.body, call.is_head_request);
    let mut received = sent.await?;
    let mut surplus = 0;
    while !is_answer_to(node, &received, call, instance, surplus == 0 && is_new) {
        // An answer to another request stands in the place of this one's, which comes after it.
        if surplus == MAX_SURPLUS || !received.goes_on {
            return Err(ExchangeError::given_up("answer to another request"));
        }
        surplus += 1;
        received = connection.next_answer(call.is_head_request).await?;
    }
    received.reusable &= surplus == 0;
    node.backend.check_in(connection, &received);
    Ok(received)
}

/// Whether an answer is that to a call. One that names no attempt may be a late second answer to an
/// earlier request, while the back end is at work on this one. Only another instance that turns away
/// the first request of a connection need not name it: nothing else can be answered there.
fn is_answer_to(
    node: &Node,
    received: &Received,
    call: &CallMessage,
    instance: &str,
    is_first: bool,
) -> bool {
    match received.head.headers.first(node.header_names.attempt) {
        Some(attempt) => attempt == &call.attempt[..],
        None => is_first && is_misdirected(node, received, instance),
    }
}

/// The head of the request: the entry's lines, with the time left and the instance that is meant.
fn request_bytes(
    node: &Node,
    call: &CallMessage,
    instance: &str,
    deadline: BootInstant,
) -> Vec<u8> {
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
