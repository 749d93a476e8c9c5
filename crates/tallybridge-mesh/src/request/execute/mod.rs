//! The executor: a call waits for a slot of the back end beside this node and is dispatched once.
//!
//! A call waits while the crash count of its request is being stored. It is refused without a
//! dispatch if its request is quarantined, if the node or the back end is
//! leaving, if the back end is not verified, or if no slot becomes free in time. All but the
//! last condition may change during the wait and are checked again after it. A call is also refused
//! if less than `MIN_REMAINING_TIME` is left before its deadline. A dispatched call is abandoned
//! `DEADLINE_GRACE` after its deadline, or when the back end restarts.
//!
//! Slots and their queue belong to [`crate::tables::backend::slots`].

mod exchange;
mod liveness;
mod outcome;
mod verdict;

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use tallybridge_core::{Criticality, ErrorKind, Refusal};
use tokio::time::Instant;

use self::{
    exchange::{exchange, exchange_until_restart},
    outcome::OutcomeRecorder,
    verdict::{classify_answer, dispatch_end, exchange_refusal, is_misdirected},
};
use crate::{
    clock::{BootInstant, timeout_at},
    http::{ReceivedResponse, Response},
    log::decisions::ExecutorFacts,
    node::Node,
    protocol::{CallMessage, SlotTimes},
    tables::{
        Announcement, Incarnation, InstanceState, Parent,
        backend::slots::{NoSlot, Slot},
        quarantine::DispatchEnd,
    },
};

/// Minimum time to the deadline at which a call is still dispatched.
const MIN_REMAINING_TIME: Duration = Duration::from_millis(5);
/// Time after the deadline in which the back end may still answer, so that the node can keep the
/// connection.
const DEADLINE_GRACE: Duration = Duration::from_millis(120);
/// Minimum `Retry-After` of a call that got no slot.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// A back end's answer to a call, and what the execution of the call cost.
#[derive(Debug)]
pub struct ExecutedCall {
    /// The answer of the back end, including one whose status reports a failure.
    pub answer: Response,
    /// Whether the back end made nested calls to answer the call.
    pub made_calls: bool,
    /// Time for which the call and its nested calls held slots, by service.
    pub times: SlotTimes,
}

/// Executes a call at the back end beside this node.
///
/// Dropping the future cancels the call: a waiting call never runs, and a dispatched call loses its
/// connection.
///
/// # Errors
///
/// Returns a refusal that says whether the call may have run. This function also logs the refusal.
pub async fn execute(node: &Arc<Node>, call: CallMessage) -> Result<ExecutedCall, Refusal> {
    let arrived = BootInstant::earliest_arrival();
    let result = wait_and_dispatch(node, &call, arrived).await;
    if let Err(refusal) = &result {
        log_refusal(node, &call, refusal, arrived);
    }
    result
}

async fn wait_and_dispatch(
    node: &Arc<Node>,
    call: &CallMessage,
    arrived: BootInstant,
) -> Result<ExecutedCall, Refusal> {
    let deadline = arrived + Duration::from_millis(call.remaining_ms.into());
    node.wait_until_crashes_stored(call).await;
    node.refuse_quarantined(call)?;
    let mut slot = acquire_slot(node, call, arrived).await?;
    let executed = dispatch(node, call, &slot, deadline).await?;
    let is_successful_leaf = executed.answer.status < 500 && !executed.made_calls;
    if is_successful_leaf && node.settings.policy.adapt_slots {
        slot.record_success(call.route_number);
    }
    Ok(executed)
}

fn log_refusal(node: &Node, call: &CallMessage, refusal: &Refusal, arrived: BootInstant) {
    let facts = ExecutorFacts {
        // An attempt name that is not UTF-8 is logged as empty.
        attempt: std::str::from_utf8(&call.attempt).unwrap_or_default(),
        load: node.load(),
        elapsed: arrived.elapsed(),
        remaining_ms: call.remaining_ms,
        wait_ms: call.wait_ms,
    };
    node.decisions.refused_at_executor(refusal, &facts);
}

async fn acquire_slot(
    node: &Arc<Node>,
    call: &CallMessage,
    arrived: BootInstant,
) -> Result<Slot, Refusal> {
    ready_incarnation(node)?;
    // A newer entry may send a class that this node does not know.
    let criticality = Criticality::from_wire(call.criticality).unwrap_or_default();
    let wait_until = arrived + Duration::from_millis(call.wait_ms.into());
    let slot = node
        .slots
        .acquire(criticality, wait_until.into_tokio())
        .await;
    slot.map_err(|reason| match reason {
        NoSlot::Full => full_refusal(node),
        NoSlot::Closed => Refusal::new(ErrorKind::Leaving, "back end is leaving"),
    })
}

/// Returns the refusal of a call that got no slot in time.
fn full_refusal(node: &Node) -> Refusal {
    let detail = if node.slots.is_rate_exhausted() {
        node.counters.rate_limited.fetch_add(1, Ordering::Relaxed);
        "rate limit of the back end allows no call in time"
    } else {
        "no slot became free in time"
    };
    let retry_after = node.slots.retry_after().max(MIN_RETRY_AFTER);
    Refusal::new(ErrorKind::Overloaded, detail).with_retry_after(retry_after)
}

/// Returns the incarnation of the back end that accepts work.
fn ready_incarnation(node: &Node) -> Result<Incarnation, Refusal> {
    if node.refuses_work() {
        return Err(Refusal::new(ErrorKind::Leaving, "node is leaving"));
    }
    node.available_incarnation()
        .ok_or_else(|| match node.instance_state() {
            InstanceState::Leaving => Refusal::new(ErrorKind::Leaving, "back end is leaving"),
            _ => Refusal::new(
                ErrorKind::NoBackend,
                "back end is unreachable or not verified",
            ),
        })
}

/// Checks again what may have changed during the wait for the slot, and returns the incarnation to
/// dispatch the call to.
fn check_before_dispatch(
    node: &Node,
    call: &CallMessage,
    deadline: BootInstant,
) -> Result<Incarnation, Refusal> {
    let incarnation = ready_incarnation(node)?;
    let remaining = deadline.saturating_duration_since(BootInstant::now());
    if remaining < MIN_REMAINING_TIME {
        let detail = "too little time left before the deadline";
        return Err(Refusal::new(ErrorKind::DeadlineExceeded, detail));
    }
    node.refuse_quarantined(call)?;
    Ok(incarnation)
}

/// Dispatches a call to the back end and records the result.
async fn dispatch(
    node: &Arc<Node>,
    call: &CallMessage,
    slot: &Slot,
    deadline: BootInstant,
) -> Result<ExecutedCall, Refusal> {
    node.wait_until_crashes_stored(call).await;
    let incarnation = check_before_dispatch(node, call, deadline)?;
    let parent = Parent {
        is_urgent: call.is_urgent,
        is_retry: call.is_retry,
    };
    // Declared before the recorder so that it drops last: the recorder looks up the running attempt.
    let _running_attempt = node.begin_attempt(&call.attempt, parent);
    let tracked_dispatch = node.track_dispatch(call, &incarnation);
    let recorder = OutcomeRecorder::new(node, &call.attempt, deadline);
    let (result, end) = exchange_with_back_end(node, call, &incarnation, deadline).await;
    tracked_dispatch.end(end);
    recorder.record(&result);
    result.map(|answer| ExecutedCall {
        answer,
        made_calls: node.has_called(&call.attempt),
        times: node.slot_times(&call.attempt, slot.held_for()),
    })
}

/// Exchanges a call with the back end and classifies the result.
async fn exchange_with_back_end(
    node: &Arc<Node>,
    call: &CallMessage,
    incarnation: &Incarnation,
    deadline: BootInstant,
) -> (Result<Response, Refusal>, DispatchEnd) {
    let dispatched_at = Instant::now();
    let pending_exchange = exchange(node, call, incarnation.id(), deadline);
    let pending_exchange = exchange_until_restart(node, incarnation, pending_exchange);
    match timeout_at(deadline + DEADLINE_GRACE, pending_exchange).await {
        Ok(Ok(received)) => {
            record_announcement(node, call, incarnation, dispatched_at, &received);
            match classify_answer(node, call, incarnation.id(), received) {
                Ok(answer) => (Ok(answer), DispatchEnd::Answered),
                Err(refusal) => (Err(refusal), DispatchEnd::NotRun),
            }
        }
        Ok(Err(error)) => (
            Err(exchange_refusal(node, &error)),
            dispatch_end(error.stage),
        ),
        Err(_) => {
            let refusal = Refusal::new(
                ErrorKind::BackendTimeout,
                "back end did not answer before the deadline",
            );
            (Err(refusal), DispatchEnd::Cancelled)
        }
    }
}

/// Applies what the head of an answer announces, unless another instance wrote the answer.
fn record_announcement(
    node: &Node,
    call: &CallMessage,
    incarnation: &Incarnation,
    dispatched_at: Instant,
    received: &ReceivedResponse,
) {
    if is_misdirected(node, received, incarnation.id()) {
        return;
    }
    let announcement = Announcement::from_headers(&received.head.headers, &node.header_names);
    node.record_announcement(incarnation, &announcement, &call.attempt, dispatched_at);
}
