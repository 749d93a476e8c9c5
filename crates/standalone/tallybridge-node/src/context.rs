//! What every task of a node shares.

use std::sync::Arc;

use tallybridge_config::Settings;
use tallybridge_core::{ErrorKind, NodeId, Refusal};
use tokio::sync::Notify;
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use xtra::{Address, Handler};

use crate::{
    actor::NodeActor,
    connections::{backend::BackendClient, peer::links::PeerLinks},
};

/// Handles to the parts of one node; cheap to clone.
#[derive(Clone)]
pub struct NodeContext {
    /// This node's identity.
    pub identity: NodeId,
    /// The node's settings.
    pub settings: Arc<Settings>,
    /// The actor that owns the tables.
    pub actor: Address<NodeActor>,
    /// Links to other nodes.
    pub links: PeerLinks,
    /// Client of the back end beside this node, if there is one.
    pub backend: Option<Arc<dyn BackendClient>>,
    /// Tasks that carry calls; a planned stop waits for them.
    pub calls: TaskTracker,
    /// Wakes the task that catches up with members that are ahead.
    pub peer_ahead: Arc<Notify>,
    /// Wakes the task that fetches the partition map from members that have a newer one.
    pub map_ahead: Arc<Notify>,
    /// Ends the node's background tasks.
    pub shutdown: CancellationToken,
}

impl NodeContext {
    /// Sends the actor a message and waits for its reply.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Internal`] when the actor has stopped.
    pub async fn ask<M>(&self, message: M) -> Result<<NodeActor as Handler<M>>::Return, Refusal>
    where
        M: Send + 'static,
        NodeActor: Handler<M>,
        <NodeActor as Handler<M>>::Return: Send + 'static,
    {
        self.actor
            .send(message)
            .await
            .map_err(|_| Refusal::new(ErrorKind::Internal, "the node's tables are gone"))
    }
}
