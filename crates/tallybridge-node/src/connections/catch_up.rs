//! Learns configuration revisions from a peer that has them.

use tallybridge_config::RevisionRecord;
use tallybridge_core::NodeId;
use tallybridge_wire::{ConfigurationFetch, Message};

use crate::{
    actor::configuration::{ApplyRecords, CurrentRevision},
    context::NodeContext,
};

/// Fetches the records that this node lacks from a member that is ahead. When it fails, the next
/// datagram from any member that is ahead starts another try.
pub async fn fetch_configuration(context: NodeContext, node: NodeId) {
    let Ok(revision) = context.ask(CurrentRevision).await else {
        return;
    };
    let fetch = Message::ConfigurationFetch(ConfigurationFetch { after: revision.0 });
    let reply = match context.links.request(node, fetch).await {
        Ok(reply) => reply,
        Err(error) => {
            tracing::debug!(%node, %error, "configuration was not fetched");
            return;
        }
    };
    let Message::ConfigurationRecords(records) = reply.message else {
        tracing::warn!(%node, "a peer answered a fetch with another message");
        return;
    };
    match serde_json::from_slice::<Vec<RevisionRecord>>(&records.json) {
        Ok(records) => {
            // Fails only when the node is stopping.
            let _ = context.ask(ApplyRecords(records)).await;
        }
        Err(error) => tracing::warn!(%node, %error, "a peer's records can't be read"),
    }
}
