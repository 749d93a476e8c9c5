//! Claims between nodes: rounds of votes, the partition map, and copies for replicas that join.

pub mod catch_up;
pub mod copies;
pub mod map;
pub mod planner;
pub mod rounds;

use std::time::Duration;

use tallybridge_core::NodeId;
use tallybridge_wire::Message;
use tokio::time::Instant;

use crate::{actor::claims::ClaimMessage, context::NodeContext};

/// Longest wait for one replica. The first majority decides, so it is waited out only when a
/// majority does not answer. Well above the stalls of a busy machine, which would otherwise refuse
/// calls that two of three replicas vote for.
pub const REPLICA_TIMEOUT: Duration = Duration::from_millis(250);

/// Time after which the link to a replica that has not answered is not used any more. Longer than
/// [`REPLICA_TIMEOUT`], as a busy machine is no broken link.
const LINK_TIMEOUT: Duration = Duration::from_secs(1);

/// Asks one replica, which may be this node itself. `None` when no answer came in time.
async fn ask_replica(
    context: &NodeContext,
    replica: NodeId,
    message: Message,
    deadline: Instant,
) -> Option<Message> {
    if replica == context.identity {
        let message = ClaimMessage {
            source: replica,
            message,
        };
        return context.ask(message).await.ok().flatten();
    }
    // A task of its own, so that the message also reaches a replica that the round does not wait
    // for: the more replicas know a claim, the more of them may be lost.
    let asked = tokio::spawn(ask_peer(context.clone(), replica, message));
    let answered = tokio::time::timeout_at(deadline, asked).await;
    answered.ok()?.ok()?
}

async fn ask_peer(context: NodeContext, replica: NodeId, message: Message) -> Option<Message> {
    let asked = context.links.request(replica, message);
    match tokio::time::timeout(LINK_TIMEOUT, asked).await {
        Ok(reply) => reply.ok().map(|reply| reply.message),
        Err(_) => {
            context.links.retire(replica);
            None
        }
    }
}
