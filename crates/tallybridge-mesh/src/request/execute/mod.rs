//! The executor: a call waits for a slot of the back end beside this node and is dispatched to it once.
//!
//! **Rule.** A call is given up without being dispatched when its request is quarantined, when the node
//! or the back end is leaving or the back end is not verified, when no slot gets free within its time
//! to wait, or when less than `LEAST_TIME` is left of its deadline. All but the slot are checked again
//! after the wait. A dispatched call is given up `BACKEND_GRACE` after its deadline, or as soon as the
//! back end has started again.
//!
//! **Inputs.** The call's remaining time and time to wait, in milliseconds from its arrival here; the
//! state of the back end and of this node, none older than the last report or health check; the
//! quarantined requests that this node knows of.
//!
//! **Output.** An [`Answered`], or a refusal that says whether the call may have run.
//!
//! **Why.** Work for a call whose caller has given up is wasted, and takes slots from calls that can
//! still succeed. The state is read again after the wait since a leaving back end must get no new work.
//!
//! Relies on the slots and the admission queue of [`crate::tables::backend::slots`], on the connections
//! of [`crate::http`] (`exchange`), and on `verdict` for what an answer means.

mod exchange;
mod outcome;
mod verdict;

use std::{sync::Arc, time::Duration};

use tallybridge_core::{Criticality, ErrorKind, Refusal};

use self::{
    exchange::{exchange, unless_restarted},
    outcome::OutcomeRecorder,
    verdict::{dispatch_end, exchange_refusal, judge},
};
use crate::{
    clock::{BootInstant, timeout_at},
    http::Answer,
    log::decisions::ExecutorFacts,
    node::Node,
    protocol::{CallMessage, SlotTimes},
    tables::{
        Incarnation, InstanceState, Parent,
        backend::slots::{NoSlot, Slot},
        quarantine::DispatchEnd,
    },
};

/// Least time left, before its deadline, of a call that is dispatched. Origin not recorded.
const LEAST_TIME: Duration = Duration::from_millis(5);
/// Time that the back end is given after a call's deadline to answer it itself, so that the connection
/// can be kept. Origin of the figure not recorded.
const BACKEND_GRACE: Duration = Duration::from_millis(120);
/// Least time after which a call that found no slot may come back. Origin not recorded.
const LEAST_RETRY_AFTER: Duration = Duration::from_millis(50);

/// What a back end answered.
#[derive(Debug)]
pub struct Answered {
    /// Its answer.
    pub answer: Answer,
    /// Whether it made nested calls for it.
    pub made_calls: bool,
    /// Time for which the call and its nested calls held slots, by service.
    pub times: SlotTimes,
}

/// Executes a call at the back end beside this node. Dropping the future withdraws the call: one
/// that waits never runs, and one that runs loses its connection.
///
/// # Errors
///
/// A refusal that says whether the call may have run. It is logged here.
pub async fn execute(node: &Arc<Node>, call: CallMessage) -> Result<Answered, Refusal> {
    let arrived = BootInstant::earliest_arrival();
    let result = run(node, &call, arrived).await;
    if let Err(refusal) = &result {
        log_refusal(node, &call, refusal, arrived);
    }
    result
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
        // A name that is not UTF-8 is logged as empty; the other facts stand.
        attempt: std::str::from_utf8(&call.attempt).unwrap_or_default(),
        load: node.load(),
        elapsed: arrived.elapsed(),
        remaining_ms: call.remaining_ms,
        wait_ms: call.wait_ms,
    };
    node.decisions.refused_at_executor(refusal, &facts);
}

/// Waits for a slot for as long as the call may wait.
async fn take_slot(
    node: &Arc<Node>,
    call: &CallMessage,
    arrived: BootInstant,
) -> Result<Slot, Refusal> {
    instance_for_work(node)?;
    // An entry of a later version may know classes that this node doesn't: they get the default one.
    let criticality = Criticality::from_wire(call.criticality).unwrap_or_default();
    let wait_until = arrived + Duration::from_millis(call.wait_ms.into());
    let slot = node.slots.slot(criticality, wait_until.into_tokio()).await;
    slot.map_err(|reason| match reason {
        NoSlot::Full => {
            let retry_after = node.slots.service_time().max(LEAST_RETRY_AFTER);
            Refusal::new(ErrorKind::Overloaded, "no slot in time").with_retry_after(retry_after)
        }
        NoSlot::Closed => Refusal::new(ErrorKind::Leaving, "back end is leaving"),
    })
}

/// The instance of the back end that takes work now.
fn instance_for_work(node: &Node) -> Result<Incarnation, Refusal> {
    if node.refuses_work() {
        return Err(Refusal::new(ErrorKind::Leaving, "node is leaving"));
    }
    node.available_incarnation()
        .ok_or_else(|| match node.instance_state() {
            InstanceState::Leaving => Refusal::new(ErrorKind::Leaving, "back end is leaving"),
            _ => Refusal::new(
                ErrorKind::NoBackend,
                "back end is not verified or not reached",
            ),
        })
}

/// The instance to dispatch a call to that has its slot. What was checked before the wait for the slot
/// may have changed during it.
fn recheck(node: &Node, call: &CallMessage, deadline: BootInstant) -> Result<Incarnation, Refusal> {
    let incarnation = instance_for_work(node)?;
    let remaining = deadline.saturating_duration_since(BootInstant::now());
    if remaining < LEAST_TIME {
        let detail = "no time left to run";
        return Err(Refusal::new(ErrorKind::DeadlineExceeded, detail));
    }
    node.refuse_quarantined(call)?;
    Ok(incarnation)
}

/// Dispatches a call to the back end, and records how it ended there.
async fn dispatch(
    node: &Arc<Node>,
    call: &CallMessage,
    slot: &Slot,
    deadline: BootInstant,
) -> Result<Answered, Refusal> {
    let incarnation = recheck(node, call, deadline)?;
    let parent = Parent {
        is_urgent: call.is_urgent,
        is_retry: call.is_retry,
    };
    // Dropped last: the recorder's drop looks the running call up.
    let _running = node.begin_attempt(&call.attempt, parent);
    let dispatched = node.track_dispatch(call, &incarnation);
    let outcome = OutcomeRecorder::new(node, &call.attempt, deadline);
    let (result, end) = run_at_back_end(node, call, &incarnation, deadline).await;
    dispatched.end(end);
    outcome.record(&result);
    result.map(|answer| Answered {
        answer,
        made_calls: node.has_called(&call.attempt),
        times: node.slot_times(&call.attempt, slot.held()),
    })
}

/// Exchanges a call with the back end and judges what came of it.
async fn run_at_back_end(
    node: &Arc<Node>,
    call: &CallMessage,
    incarnation: &Incarnation,
    deadline: BootInstant,
) -> (Result<Answer, Refusal>, DispatchEnd) {
    let exchanging = exchange(node, call, incarnation.id(), deadline);
    let exchanging = unless_restarted(node, incarnation, exchanging);
    match timeout_at(deadline + BACKEND_GRACE, exchanging).await {
        Ok(Ok(received)) => match judge(node, call, incarnation.id(), received) {
            Ok(answer) => (Ok(answer), DispatchEnd::Answered),
            Err(refusal) => (Err(refusal), DispatchEnd::NotRun),
        },
        Ok(Err(error)) => (
            Err(exchange_refusal(node, &error)),
            dispatch_end(error.stage),
        ),
        Err(_) => {
            let refusal = Refusal::new(ErrorKind::BackendTimeout, "back end did not answer");
            (Err(refusal), DispatchEnd::Cancelled)
        }
    }
}
