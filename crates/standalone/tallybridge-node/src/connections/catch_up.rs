//! Learns configuration revisions from members that have them.

use std::time::Duration;

use rand::{SeedableRng, rngs::SmallRng, seq::SliceRandom};
use tallybridge_config::{Document, Revision, RevisionRecord};
use tallybridge_core::NodeId;
use tallybridge_wire::{ConfigurationFetch, Message};

use crate::{
    actor::configuration::{
        ApplyRecords, ApplySnapshot, CurrentRevision, ForgetAhead, MembersAhead,
    },
    context::NodeContext,
};

/// Longest time for a member to answer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Time to wait once no member could help, so that what this node refuses or can't read is not
/// fetched with each datagram.
const PAUSE: Duration = Duration::from_millis(500);

/// Why a fetch brought nothing new.
#[derive(Debug, thiserror::Error)]
enum FetchError {
    #[error("this node stops")]
    Stopping,
    #[error("no answer in time")]
    TimedOut,
    #[error(transparent)]
    Peer(#[from] crate::connections::peer::PeerFailure),
    #[error("the answer is of message kind {0}")]
    Unexpected(u8),
    #[error("the answer can't be read: {0}")]
    Malformed(#[from] serde_json::Error),
    #[error("the answer held nothing that this node puts in force")]
    NothingNew,
}

/// Brings this node up to date whenever a member is heard to be ahead, until the node stops. One
/// member is asked at a time, however many are ahead.
pub async fn catch_up(context: NodeContext) {
    let mut random = SmallRng::seed_from_u64(context.identity.instance.0);
    loop {
        tokio::select! {
            biased;
            () = context.shutdown.cancelled() => return,
            () = context.peer_ahead.notified() => {}
        }
        if ask_members(&context, &mut random).await.is_err() {
            return;
        }
    }
}

/// Asks the members that are ahead, in random order so that the fleet does not fall upon one, until
/// none is left or none could help. One that fails is left out until it is heard from again.
async fn ask_members(context: &NodeContext, random: &mut SmallRng) -> Result<(), FetchError> {
    loop {
        let ahead = context.ask(MembersAhead).await;
        let mut ahead = ahead.map_err(|_| FetchError::Stopping)?;
        if ahead.is_empty() {
            return Ok(());
        }
        ahead.shuffle(random);
        let asked = tokio::select! {
            biased;
            () = context.shutdown.cancelled() => return Err(FetchError::Stopping),
            asked = ask_in_turn(context, ahead) => asked,
        };
        if !asked? {
            tokio::time::sleep(PAUSE).await;
            return Ok(());
        }
    }
}

/// Asks one member after the other until one has brought something new; `false` when none has.
async fn ask_in_turn(context: &NodeContext, members: Vec<NodeId>) -> Result<bool, FetchError> {
    for node in members {
        match fetch(context, node).await {
            Ok(_) => return Ok(true),
            Err(FetchError::Stopping) => return Err(FetchError::Stopping),
            Err(error) => {
                tracing::debug!(%node, %error, "configuration was not fetched");
                let forgotten = context.ask(ForgetAhead(node)).await;
                forgotten.map_err(|_| FetchError::Stopping)?;
            }
        }
    }
    Ok(false)
}

/// Fetches what this node lacks from one member and gives the revision that is in force then.
async fn fetch(context: &NodeContext, node: NodeId) -> Result<Revision, FetchError> {
    let before = context.ask(CurrentRevision).await;
    let before = before.map_err(|_| FetchError::Stopping)?;
    let fetch = Message::ConfigurationFetch(ConfigurationFetch { after: before.0 });
    let Ok(reply) = tokio::time::timeout(FETCH_TIMEOUT, context.links.request(node, fetch)).await
    else {
        context.links.retire(node);
        return Err(FetchError::TimedOut);
    };
    let after = apply(context, reply?.message).await?;
    if after > before {
        Ok(after)
    } else {
        Err(FetchError::NothingNew)
    }
}

async fn apply(context: &NodeContext, message: Message) -> Result<Revision, FetchError> {
    let applied = match message {
        Message::ConfigurationRecords(records) => {
            let records: Vec<RevisionRecord> = serde_json::from_slice(&records.json)?;
            context.ask(ApplyRecords(records)).await
        }
        Message::ConfigurationSnapshot(snapshot) => {
            let document: Document = serde_json::from_slice(&snapshot.json)?;
            context.ask(ApplySnapshot(document)).await
        }
        other => return Err(FetchError::Unexpected(other.kind())),
    };
    applied.map_err(|_| FetchError::Stopping)
}
