//! One attempt of a call at one executor: beside this node, or over the link to a peer.
//!
//! Records what the attempt shows of the executor, which placement goes by: calls that get lost, and
//! executors that are avoided since they refused one.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tallybridge_core::{ErrorKind, Outcome, Refusal};
use tokio::time::Instant;

use super::{Answered, Call, retry::is_undispatched};
use crate::{
    clock::{BootInstant, timeout_at},
    http::Response,
    link::{Link, LinkError, Reply},
    node::Node,
    protocol::{CallMessage, RefusalMessage},
    request::execute::execute,
    tables::Executor,
};

/// An executor that was chosen.
pub(super) struct Target {
    pub(super) address: SocketAddr,
    pub(super) executor: Executor,
}

/// Runs one attempt, until the call's deadline at most.
///
/// # Errors
///
/// A refusal that says whether this attempt may have run.
pub(super) async fn attempt(
    node: &Arc<Node>,
    call: &Call,
    is_retry: bool,
    target: Target,
) -> Result<Answered, Refusal> {
    let Target { address, executor } = target;
    let now = BootInstant::now();
    let message = CallMessage {
        remaining_ms: milliseconds(call.deadline.saturating_duration_since(now)),
        wait_ms: milliseconds(call.wait_until.saturating_duration_since(now)),
        is_retry,
        ..call.message.clone()
    };
    let executing = async {
        match executor {
            Executor::Local => execute(node, message).await,
            Executor::Peer(address, link) => send(node, address, &link, message).await,
        }
    };
    let result = timeout_at(call.deadline, executing).await;
    let result = result.unwrap_or_else(|_| {
        let detail = "no answer before the deadline";
        Err(Refusal::new(ErrorKind::BackendTimeout, detail))
    });
    record_outcome(node, address, result.as_ref().err());
    result
}

/// Records at the executor whether a call got lost there, and avoids one that refused a call for
/// reasons of its own.
fn record_outcome(node: &Node, address: SocketAddr, refusal: Option<&Refusal>) {
    let is_lost = refusal.is_some_and(|refusal| refusal.outcome == Outcome::Unknown);
    let is_refused = refusal
        .is_some_and(|refusal| is_undispatched(refusal) && refusal.kind != ErrorKind::Quarantined);
    node.with_peers(|peers| {
        peers.record_outcome(address, is_lost);
        if is_refused {
            peers.avoid(address, Instant::now());
        }
    });
}

fn milliseconds(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

/// Sends a call over a link and waits for its reply.
async fn send(
    node: &Arc<Node>,
    address: SocketAddr,
    link: &Arc<Link>,
    message: CallMessage,
) -> Result<Answered, Refusal> {
    let mut under_way = link.call(message).map_err(|error| {
        Refusal::new(ErrorKind::PeerLost, error.to_string()).with_outcome(Outcome::NotRun)
    })?;
    node.with_peers(|peers| peers.record_sent(address));
    match under_way.reply().await {
        Ok(reply) => answer_of(reply),
        Err(error @ (LinkError::Lost | LinkError::NotSent)) => {
            node.with_peers(|peers| peers.avoid(address, Instant::now()));
            Err(Refusal::new(ErrorKind::PeerLost, error.to_string()))
        }
    }
}

fn answer_of(reply: Reply) -> Result<Answered, Refusal> {
    match reply {
        Reply::Answer(answer) => Ok(Answered {
            answer: Response {
                status: answer.status,
                headers: answer.head.to_vec(),
                body: answer.body,
            },
            made_calls: answer.made_calls,
            times: answer.times,
        }),
        Reply::Refusal(refusal) => Err(peer_refusal(&refusal)),
        Reply::Quota(_) => {
            let detail = "peer answered a call with a grant";
            Err(Refusal::new(ErrorKind::PeerLost, detail))
        }
    }
}

/// A refusal by a peer, as one of this node.
fn peer_refusal(refusal: &RefusalMessage) -> Refusal {
    Refusal {
        retry_after: refusal.retry_after,
        ..Refusal::new(refusal.kind, "refused by the executor").with_outcome(refusal.outcome)
    }
}
