//! Sends a call to one executor after another until one answers or the call fails.
//!
//! [Placement](crate::tables::PeerTable::choose) chooses the executor of each attempt, `attempt` runs
//! a single attempt, and `retry` decides whether another attempt follows.

mod attempt;
mod retry;

use std::{net::SocketAddr, sync::Arc};

use tallybridge_core::{ErrorKind, Refusal};
use tokio::time::Instant;

use self::{
    attempt::{Target, attempt},
    retry::{Attempts, MAX_FURTHER_ATTEMPTS, is_failure_of_outlier},
};
use super::execute::ExecutedCall;
use crate::{
    clock::BootInstant,
    configuration::{Route, tenants::Tenant},
    node::Node,
    protocol::CallMessage,
    tables::{Executor, FirstAttempt, PlacementQuery},
};

/// A prepared request, to be sent to executors of its service.
pub struct Call {
    /// Route that the request matched.
    pub route: Arc<Route>,
    /// Service that the call is sent to; one of the services of the route.
    pub service: Arc<str>,
    /// Tenant that holds the key of the request; `None` if the request needs no key.
    pub tenant: Option<Arc<Tenant>>,
    /// Message to executors; each attempt sets its remaining times.
    pub message: CallMessage,
    /// End of the time for all attempts together.
    pub deadline: BootInstant,
    /// End of the time for which the call may wait for a slot.
    pub wait_until: BootInstant,
}

/// The failure of a call that got no answer.
#[derive(Debug)]
pub struct ForwardError {
    /// Refusal of the last attempt, with the outcome over all attempts.
    pub refusal: Refusal,
    /// Number of executors that the call was sent to.
    pub executors_tried: usize,
}

impl ForwardError {
    /// Creates the error of a call that was sent to no executor.
    #[must_use]
    pub const fn not_sent(refusal: Refusal) -> Self {
        Self {
            refusal,
            executors_tried: 0,
        }
    }
}

/// Sends a call to one executor after another until one answers or the call fails.
///
/// # Errors
///
/// Returns a refusal that says whether the call may have run.
pub async fn forward(node: &Arc<Node>, call: &Call) -> Result<ExecutedCall, ForwardError> {
    let first_attempt = FirstAttempt {
        is_below_retry: call.message.is_retry,
    };
    node.record_first_attempt(&call.service, first_attempt);
    refuse_expired(call).map_err(ForwardError::not_sent)?;
    refuse_if_stop_would_cut_off(node, call).map_err(ForwardError::not_sent)?;
    let mut attempts = Attempts::new();
    for _ in 0..=MAX_FURTHER_ATTEMPTS {
        let Some(target) = choose_executor(node, call, attempts.tried()) else {
            break;
        };
        let address = target.address;
        attempts.start(address);
        let was_suspect = node.is_suspect(&call.message);
        let is_retry = call.message.is_retry || attempts.has_dispatched_before();
        let has_dispatched = match attempt(node, call, is_retry, target).await {
            Ok(executed) if !is_failure_of_outlier(node, call, address, &executed.answer) => {
                return Ok(executed);
            }
            Ok(executed) => {
                attempts.record_failure(executed);
                true
            }
            Err(refusal) => attempts.record_refusal(refusal, was_suspect),
        };
        if !attempts.should_continue(node, call, has_dispatched)
            || refuse_if_stop_would_cut_off(node, call).is_err()
        {
            break;
        }
    }
    attempts.into_result()
}

/// Refuses a call whose deadline has already passed, such as after a suspension of the machine.
fn refuse_expired(call: &Call) -> Result<(), Refusal> {
    if BootInstant::now() < call.deadline {
        return Ok(());
    }
    let detail = "deadline had passed before the request was read";
    Err(Refusal::new(ErrorKind::DeadlineExceeded, detail))
}

/// Refuses a call that may still run when a planned stop of this node ends.
fn refuse_if_stop_would_cut_off(node: &Node, call: &Call) -> Result<(), Refusal> {
    let last_start = node.last_start_of_call(call.deadline);
    if last_start.is_none_or(|last_start| BootInstant::now() <= last_start) {
        return Ok(());
    }
    let detail = "node stops before the call could end";
    Err(Refusal::new(ErrorKind::Leaving, detail))
}

fn choose_executor(node: &Node, call: &Call, tried: &[SocketAddr]) -> Option<Target> {
    let query = placement_query(node, call, tried);
    let executor = node.with_peers(|peers| peers.choose(&query, Instant::now()))?;
    let address = match &executor {
        Executor::Local => node.record.address,
        Executor::Peer(address, _) => *address,
    };
    Some(Target { address, executor })
}

fn placement_query<'a>(node: &Node, call: &'a Call, tried: &'a [SocketAddr]) -> PlacementQuery<'a> {
    let is_own_service = *call.service == *node.settings.backend.service;
    let accepts_work =
        is_own_service && !node.refuses_work() && node.available_incarnation().is_some();
    PlacementQuery {
        service: &call.service,
        local: accepts_work.then(|| node.load()),
        tried,
        is_idempotent: call.message.is_idempotent,
    }
}
