//! One attempt of a call at one executor: at this node, or over the link to a peer.
//!
//! Records the result for placement: calls with an unknown outcome, and executors to avoid because
//! they refused a call.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tallybridge_core::{ErrorKind, Outcome, Refusal};
use tokio::time::Instant;

use super::{Call, ExecutedCall, retry::is_undispatched};
use crate::{
    clock::{BootInstant, timeout_at},
    http::{Response, is_final_status},
    link::{Link, LinkError, Reply},
    node::Node,
    protocol::{CallMessage, RefusalMessage},
    request::execute::execute,
    tables::Executor,
};

pub(super) struct Target {
    pub(super) address: SocketAddr,
    pub(super) executor: Executor,
}

/// Runs one attempt, at most until the deadline of the call.
///
/// # Errors
///
/// Returns a refusal that says whether this attempt may have run.
pub(super) async fn attempt(
    node: &Arc<Node>,
    call: &Call,
    is_retry: bool,
    target: Target,
) -> Result<ExecutedCall, Refusal> {
    let Target { address, executor } = target;
    let now = BootInstant::now();
    let last_start = node.last_start_of_call(call.deadline);
    let wait_until = last_start.map_or(call.wait_until, |last_start| {
        call.wait_until.min(last_start)
    });
    let message = CallMessage {
        remaining_ms: saturating_millis(call.deadline.saturating_duration_since(now)),
        wait_ms: saturating_millis(wait_until.saturating_duration_since(now)),
        is_retry,
        ..call.message.clone()
    };
    let execution = async {
        match executor {
            Executor::Local => execute(node, message).await,
            Executor::Peer(address, link) => send(node, address, &link, message).await,
        }
    };
    let result = timeout_at(call.deadline, execution).await;
    let result = result.unwrap_or_else(|_| {
        let detail = "executor did not answer before the deadline";
        Err(Refusal::new(ErrorKind::BackendTimeout, detail))
    });
    record_outcome(node, address, result.as_ref().err());
    result
}

/// Records whether the outcome of a call at an executor is unknown. Avoids an executor that refused
/// a call for a reason other than quarantine.
fn record_outcome(node: &Node, address: SocketAddr, refusal: Option<&Refusal>) {
    let is_unknown = refusal.is_some_and(|refusal| refusal.outcome == Outcome::Unknown);
    let is_refused = refusal
        .is_some_and(|refusal| is_undispatched(refusal) && refusal.kind != ErrorKind::Quarantined);
    node.with_peers(|peers| {
        peers.record_outcome(address, is_unknown);
        if is_refused {
            peers.avoid(address, Instant::now());
        }
    });
}

fn saturating_millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

async fn send(
    node: &Arc<Node>,
    address: SocketAddr,
    link: &Arc<Link>,
    message: CallMessage,
) -> Result<ExecutedCall, Refusal> {
    let mut pending_call = link.call(message).map_err(|error| {
        Refusal::new(ErrorKind::PeerLost, error.to_string()).with_outcome(Outcome::NotRun)
    })?;
    node.with_peers(|peers| peers.record_sent(address));
    match pending_call.reply().await {
        Ok(reply) => result_of_reply(reply),
        Err(error @ (LinkError::NoReply | LinkError::NotSent)) => {
            node.with_peers(|peers| peers.avoid(address, Instant::now()));
            Err(Refusal::new(ErrorKind::PeerLost, error.to_string()))
        }
    }
}

fn result_of_reply(reply: Reply) -> Result<ExecutedCall, Refusal> {
    match reply {
        Reply::Answer(answer) if !is_final_status(answer.status) => {
            let detail = format!("executor passed on the invalid status {:03}", answer.status);
            Err(Refusal::new(ErrorKind::BackendFailed, detail))
        }
        Reply::Answer(answer) => Ok(ExecutedCall {
            answer: Response {
                status: answer.status,
                headers: answer.head.to_vec(),
                body: answer.body,
            },
            made_calls: answer.made_calls,
            times: answer.times,
        }),
        Reply::Refusal(refusal) => Err(refusal_from_peer(&refusal)),
        Reply::Quota(_) => {
            let detail = "peer answered a call with a quota grant";
            Err(Refusal::new(ErrorKind::PeerLost, detail))
        }
    }
}

fn refusal_from_peer(refusal: &RefusalMessage) -> Refusal {
    Refusal {
        retry_after: refusal.retry_after,
        ..Refusal::new(refusal.kind, "refused by the executor").with_outcome(refusal.outcome)
    }
}
