//! Forwarding: a call is sent to one executor after the other until one answers or it is given up.
//!
//! Relies on [placement](crate::tables::PeerTable::choose) for the executor of each attempt, on
//! `retry` for the rule of what follows an attempt, and on `attempt` for a single one.

mod attempt;
mod retry;

use std::{net::SocketAddr, sync::Arc};

use tallybridge_core::{ErrorKind, Refusal};
use tokio::time::Instant;

use self::{
    attempt::{Target, attempt},
    retry::{Attempts, MAX_FURTHER_ATTEMPTS, is_failure_of_outlier},
};
use super::execute::Answered;
use crate::{
    clock::BootInstant,
    configuration::{Route, tenants::Tenant},
    node::Node,
    protocol::CallMessage,
    tables::{Executor, FirstAttempt, PlacementQuery},
};

/// A request on its way.
pub struct Call {
    /// Its route.
    pub route: Arc<Route>,
    /// The service that answers it.
    pub service: Arc<str>,
    /// The tenant that it is made for; `None` where no key is needed.
    pub tenant: Option<Arc<Tenant>>,
    /// What is sent to executors.
    pub message: CallMessage,
    /// When its answer must be there.
    pub deadline: BootInstant,
    /// Until when it may wait for a slot.
    pub wait_until: BootInstant,
}

/// A call that ended without an answer.
#[derive(Debug)]
pub struct Unanswered {
    /// Why, and whether it may have run.
    pub refusal: Refusal,
    /// Executors that were tried.
    pub tried: usize,
}

impl Unanswered {
    /// A call that was sent to nobody.
    #[must_use]
    pub const fn untried(refusal: Refusal) -> Self {
        Self { refusal, tried: 0 }
    }
}

/// Sends a call until there is an answer, or it is given up.
///
/// # Errors
///
/// A refusal that says whether the call may have run.
pub async fn forward(node: &Arc<Node>, call: &Call) -> Result<Answered, Unanswered> {
    let first = FirstAttempt {
        is_below_retry: call.message.is_retry,
    };
    node.record_first_attempt(&call.service, first);
    refuse_expired(call).map_err(Unanswered::untried)?;
    let mut attempts = Attempts::new();
    for _ in 0..=MAX_FURTHER_ATTEMPTS {
        let Some(target) = choose(node, call, attempts.tried()) else {
            break;
        };
        let address = target.address;
        attempts.begin(address);
        let is_retry = call.message.is_retry || attempts.have_dispatched();
        let has_dispatched = match attempt(node, call, is_retry, target).await {
            Ok(answered) if !is_failure_of_outlier(node, call, address, &answered.answer) => {
                return Ok(answered);
            }
            Ok(answered) => {
                attempts.record_failure(answered);
                true
            }
            Err(refusal) => attempts.record_refusal(refusal),
        };
        if !attempts.continue_after(node, call, has_dispatched) {
            break;
        }
    }
    attempts.into_result()
}

/// Refuses a call whose deadline passed before it was read, as when this machine was suspended.
fn refuse_expired(call: &Call) -> Result<(), Refusal> {
    if BootInstant::now() < call.deadline {
        return Ok(());
    }
    let detail = "its time was up when it was read";
    Err(Refusal::new(ErrorKind::DeadlineExceeded, detail))
}

fn choose(node: &Node, call: &Call, tried: &[SocketAddr]) -> Option<Target> {
    let query = placement_query(node, call, tried);
    let executor = node.with_peers(|peers| peers.choose(&query, Instant::now()))?;
    let address = match &executor {
        Executor::Local => node.record.address,
        Executor::Peer(address, _) => *address,
    };
    Some(Target { address, executor })
}

fn placement_query<'a>(node: &Node, call: &'a Call, tried: &'a [SocketAddr]) -> PlacementQuery<'a> {
    let is_own = *call.service == *node.settings.backend.service;
    let takes_work = is_own && !node.refuses_work() && node.available_incarnation().is_some();
    PlacementQuery {
        service: &call.service,
        local: takes_work.then(|| node.load()),
        tried,
        is_idempotent: call.message.is_idempotent,
    }
}
