//! At the executor: a call waits for a slot and is handed to the back end, once.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use tallybridge_core::{Criticality, ErrorKind, Outcome, Refusal};

use crate::{
    clock::{BootInstant, timeout_at},
    http::{Answer, ExchangeError, ExchangeStage, Received, head::write_line, pool::Checkout},
    log::decisions::ExecutorFacts,
    node::Node,
    protocol::{CallMessage, SlotTimes},
    tables::{
        Incarnation, InstanceState, Parent,
        backend::slots::{NoSlot, Slot},
        quarantine::DispatchEnd,
    },
};

/// A call with less time left is not handed over.
const LEAST_TIME: Duration = Duration::from_millis(5);
/// Time that the back end is given to answer its own deadline, so that the connection stays.
const BACKEND_GRACE: Duration = Duration::from_millis(120);
/// A call that is withdrawn so close to its deadline was given up for want of an answer.
const DEADLINE_MARGIN: Duration = Duration::from_millis(30);
/// Answers to other requests that are read past on one connection.
const MAX_SURPLUS: usize = 2;

/// What a back end answered.
#[derive(Debug)]
pub struct Answered {
    /// Its answer.
    pub answer: Answer,
    /// Whether it made nested calls for it.
    pub made_calls: bool,
    /// What it cost.
    pub times: SlotTimes,
}

/// How a call ended at its executor.
#[derive(Debug)]
pub enum Executed {
    /// The back end answered.
    Answered(Answered),
    /// It did not, and this is known of the call.
    Refused(Refusal),
}

/// Executes a call at the back end beside this node. Dropping the future withdraws the call: one
/// that waits never runs, and one that runs loses its connection.
pub async fn execute(node: &Arc<Node>, call: CallMessage) -> Executed {
    let arrived = BootInstant::of_arrival();
    let result = run(node, &call, arrived).await;
    match result {
        Ok(answered) => Executed::Answered(answered),
        Err(refusal) => {
            log_refusal(node, &call, &refusal, arrived);
            Executed::Refused(refusal)
        }
    }
}

async fn run(
    node: &Arc<Node>,
    call: &CallMessage,
    arrived: BootInstant,
) -> Result<Answered, Refusal> {
    let deadline = arrived + Duration::from_millis(call.remaining_ms.into());
    node.refuse_quarantined(call)?;
    let mut slot = take_slot(node, call, arrived).await?;
    let answered = dispatch(node, call, &slot, deadline).await?;
    let is_leaf = answered.answer.status < 500 && !answered.made_calls;
    if is_leaf && node.settings.policy.adapt_slots {
        slot.ended_well(call.kind);
    }
    Ok(answered)
}

fn log_refusal(node: &Node, call: &CallMessage, refusal: &Refusal, arrived: BootInstant) {
    let facts = ExecutorFacts {
        attempt: std::str::from_utf8(&call.attempt).unwrap_or_default(),
        load: node.load(),
        held: arrived.elapsed(),
        remaining_ms: call.remaining_ms,
        wait_ms: call.wait_ms,
    };
    node.decisions.refused_at_executor(refusal, &facts);
}

async fn take_slot(
    node: &Arc<Node>,
    call: &CallMessage,
    arrived: BootInstant,
) -> Result<Slot, Refusal> {
    instance(node)?;
    let criticality = Criticality::from_wire(call.criticality).unwrap_or_default();
    let wait_until = arrived + Duration::from_millis(call.wait_ms.into());
    let slot = node.slots.slot(criticality, wait_until.if_awake()).await;
    slot.map_err(|reason| match reason {
        NoSlot::Full => {
            let retry_after = node.slots.service_time().max(Duration::from_millis(50));
            Refusal::new(ErrorKind::Overloaded, "no slot in time").with_retry_after(retry_after)
        }
        NoSlot::Closed => Refusal::new(ErrorKind::Leaving, "back end is leaving"),
    })
}

/// The instance that may be handed work now.
fn instance(node: &Node) -> Result<Incarnation, Refusal> {
    if node.refuses_work() {
        return Err(Refusal::new(ErrorKind::Leaving, "node is leaving"));
    }
    node.instance_for_work()
        .ok_or_else(|| match node.instance_state() {
            InstanceState::Leaving => Refusal::new(ErrorKind::Leaving, "back end is leaving"),
            _ => Refusal::new(
                ErrorKind::NoBackend,
                "back end is not verified or not reached",
            ),
        })
}

async fn dispatch(
    node: &Arc<Node>,
    call: &CallMessage,
    slot: &Slot,
    deadline: BootInstant,
) -> Result<Answered, Refusal> {
    // Asked again after the wait for a slot: the back end may have said that it leaves.
    let incarnation = instance(node)?;
    let remaining = deadline.saturating_duration_since(BootInstant::now());
    if remaining < LEAST_TIME {
        let detail = "no time left to run";
        return Err(Refusal::new(ErrorKind::DeadlineExceeded, detail));
    }
    // So may other back ends have ended under it.
    node.refuse_quarantined(call)?;
    let parent = Parent {
        is_urgent: call.is_urgent,
        is_retry: call.is_retry,
    };
    let _running = node.attempt_runs(&call.attempt, parent);
    let exposed = node.exposes_to(call, &incarnation);
    let ending = CallEnding::begin(node, &call.attempt, deadline);
    let give_up = deadline + BACKEND_GRACE;
    let exchanging = exchange(node, call, incarnation.id(), deadline);
    let exchanging = unless_restarted(node, &incarnation, exchanging);
    let exchanged = timeout_at(give_up, exchanging).await;
    let (result, end) = match exchanged {
        Ok(Ok(received)) => match judge(node, call, incarnation.id(), received) {
            Ok(answer) => (Ok(answer), DispatchEnd::Answered),
            Err(refusal) => (Err(refusal), DispatchEnd::NotRun),
        },
        Ok(Err(error)) => (Err(failed(node, &error)), exposure_end(error.stage)),
        Err(_) => {
            let refusal = Refusal::new(ErrorKind::BackendTimeout, "back end did not answer");
            (Err(refusal), DispatchEnd::Withdrawn)
        }
    };
    exposed.end(end);
    ending.end(&result);
    result.map(|answer| Answered {
        answer,
        made_calls: node.has_called(&call.attempt),
        times: node.slot_times(&call.attempt, slot.held()),
    })
}

/// An exchange with one start of the back end. Once that one is over nothing will answer: behind a cut
/// its connections stay open in silence. The call may have run.
async fn unless_restarted(
    node: &Node,
    incarnation: &Incarnation,
    exchanging: impl Future<Output = Result<Received, ExchangeError>>,
) -> Result<Received, ExchangeError> {
    tokio::select! {
        biased;
        exchanged = exchanging => exchanged,
        () = node.start_is_over(incarnation) => {
            Err(ExchangeError::sent("back end has started again"))
        }
    }
}

/// Takes in how a call ends at the back end, also when it is withdrawn at its deadline.
struct CallEnding<'a> {
    node: &'a Node,
    attempt: &'a Bytes,
    deadline: BootInstant,
    is_counted: bool,
}

impl<'a> CallEnding<'a> {
    const fn begin(node: &'a Node, attempt: &'a Bytes, deadline: BootInstant) -> Self {
        Self {
            node,
            attempt,
            deadline,
            is_counted: false,
        }
    }

    /// A failure of the back end's own counts as badly ended as one without an answer.
    fn end(mut self, result: &Result<Answer, Refusal>) {
        self.is_counted = true;
        let badly = match result {
            Ok(answer) => answer.status >= 500,
            Err(_) => true,
        };
        self.node.call_ended(self.attempt, badly);
    }
}

impl Drop for CallEnding<'_> {
    /// A caller that leaves says nothing of the back end; one that waited to the end does.
    fn drop(&mut self) {
        let waited_out = BootInstant::now() + DEADLINE_MARGIN >= self.deadline;
        if !self.is_counted && waited_out {
            self.node.call_ended(self.attempt, true);
        }
    }
}

/// What a failed exchange says of what the back end was handed.
const fn exposure_end(stage: ExchangeStage) -> DispatchEnd {
    match stage {
        ExchangeStage::NotSent => DispatchEnd::NotRun,
        ExchangeStage::Sent => DispatchEnd::Broken,
    }
}

fn failed(node: &Node, error: &ExchangeError) -> Refusal {
    match error.stage {
        ExchangeStage::NotSent => {
            node.instance_unreachable();
            Refusal::new(ErrorKind::NoBackend, error.reason.clone())
        }
        ExchangeStage::Sent => Refusal::new(ErrorKind::BackendFailed, error.reason.clone()),
    }
}

/// Sends the request on a connection that is kept, or on a new one, and reads its own answer.
async fn exchange(
    node: &Arc<Node>,
    call: &CallMessage,
    instance: &str,
    deadline: BootInstant,
) -> Result<Received, ExchangeError> {
    if let Some(lent) = node.backend.take() {
        match exchange_on(node, call, instance, deadline, lent).await {
            // The back end had closed the connection: nothing was handed over.
            Err(error) if error.stage == ExchangeStage::NotSent => {}
            result => return result,
        }
    }
    let lent = node.backend.open().await?;
    node.counters.connections.fetch_add(1, Ordering::Relaxed);
    node.instance_reached();
    exchange_on(node, call, instance, deadline, lent).await
}

async fn exchange_on(
    node: &Arc<Node>,
    call: &CallMessage,
    instance: &str,
    deadline: BootInstant,
    lent: Checkout,
) -> Result<Received, ExchangeError> {
    let mut connection = lent.connection;
    let request = request_bytes(node, call, instance, deadline);
    let sent = connection.exchange(&request, &call.body, call.is_head_request);
    let mut received = sent.await?;
    let mut surplus = 0;
    while !is_answer_to(
        node,
        &received,
        call,
        instance,
        surplus == 0 && !lent.is_reused,
    ) {
        // An answer to another request stands in the place of this one's, which comes after it.
        if surplus == MAX_SURPLUS || !received.goes_on {
            return Err(ExchangeError::sent("answer to another request"));
        }
        surplus += 1;
        received = connection.next_answer(call.is_head_request).await?;
    }
    received.reusable &= surplus == 0;
    node.backend.give_back(connection, &received);
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
    match received.head.headers.first(node.names.attempt) {
        Some(attempt) => attempt == &call.attempt[..],
        None => is_first && is_misdirected(node, received, instance),
    }
}

fn request_bytes(
    node: &Node,
    call: &CallMessage,
    instance: &str,
    deadline: BootInstant,
) -> Vec<u8> {
    node.counters.executed.fetch_add(1, Ordering::Relaxed);
    let remaining = deadline.saturating_duration_since(BootInstant::now());
    let remaining = remaining.as_millis().max(1).to_string();
    let mut request = Vec::with_capacity(call.head.len() + 96);
    request.extend_from_slice(&call.head);
    write_line(node.names.deadline_ms, remaining.as_bytes(), &mut request);
    write_line(
        node.names.expected_instance,
        instance.as_bytes(),
        &mut request,
    );
    request.extend_from_slice(b"\r\n");
    request
}

/// Tells an answer from a refusal of the back end. That a call has not run is believed only where
/// nothing speaks against it: a caller that is told so sends the same work again.
fn judge(
    node: &Node,
    call: &CallMessage,
    instance: &str,
    received: Received,
) -> Result<Answer, Refusal> {
    let head = &received.head;
    let status = head.status;
    // A back end that made calls of its own has begun. Its refusal is one that it was given for such
    // a call and hands on as its own.
    let has_begun = node.has_called(&call.attempt);
    if is_misdirected(node, &received, instance) && !has_begun {
        node.instance_misdirected();
        let detail = "another instance has the address";
        return Err(Refusal::new(ErrorKind::NoBackend, detail));
    }
    let says_not_run = head.headers.first(node.names.not_run).is_some();
    if says_not_run && !has_begun {
        let detail = format!("back end refused with status {status}");
        return Err(Refusal::new(ErrorKind::BackendRefused, detail));
    }
    if says_not_run || promises_not_run(status) {
        let detail = format!("back end may have run the call that it answers with {status}");
        return Err(Refusal::new(ErrorKind::BackendFailed, detail));
    }
    let mut headers = Vec::with_capacity(256);
    head.headers.write_end_to_end(&[], &mut headers);
    Ok(Answer {
        status,
        headers,
        body: received.body,
    })
}

/// Whether another instance than the expected one turned a call away.
fn is_misdirected(node: &Node, received: &Received, expected: &str) -> bool {
    let headers = &received.head.headers;
    let says_not_run = headers.first(node.names.not_run).is_some();
    let by_other = headers
        .text(node.names.instance)
        .is_some_and(|by| by != expected);
    received.head.status == 421 && (says_not_run || by_other)
}

/// Whether callers take a status for the promise that a request has not run and never will. A back
/// end that gives it without saying so may have run the request, so it is not passed on.
const fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Whether a refusal means that nothing was handed to the back end.
#[must_use]
pub fn is_undispatched(refusal: &Refusal) -> bool {
    refusal.outcome == Outcome::NotRun && refusal.kind != ErrorKind::BackendRefused
}
