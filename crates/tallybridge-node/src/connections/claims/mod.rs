//! Claims between nodes: rounds of votes, the partition map, and copies for replicas that join.

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
/// majority does not answer.
pub const REPLICA_TIMEOUT: Duration = Duration::from_millis(50);

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
    let asked = context.links.request(replica, message);
    match tokio::time::timeout_at(deadline, asked).await {
        Ok(reply) => reply.ok().map(|reply| reply.message),
        Err(_) => {
            context.links.retire(replica);
            None
        }
    }
}
