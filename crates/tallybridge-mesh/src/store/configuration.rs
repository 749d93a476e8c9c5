//! The configuration as it lies in the store: read once, then watched.

use std::{sync::Arc, time::Duration};

use tokio::time::{Instant, sleep};

use super::{Backoff, count};
use crate::{
    node::Node,
    peer::message::{Frame, Message},
    seam::{StoreError, WatchedConfiguration},
};

/// Longest wait for a change in one call. Every call is paid for, so a watch waits long; that the
/// store still answers is told by the renewals of the registration, which cost far less.
const WATCH: Duration = Duration::from_secs(25);
/// Wait after a change, so that several in quick succession are read in one call.
const WATCH_PAUSE: Duration = Duration::from_millis(400);
/// Time between looks whether a peer has a newer configuration.
const PEER_LOOK: Duration = Duration::from_millis(300);
/// Time that a peer must have had a newer configuration before it is asked for it: longer than the
/// wait after a change, in which each node is a little behind the others.
const PEER_AHEAD: Duration = Duration::from_millis(700);

/// Reads the configuration and watches it for as long as the process lives.
pub async fn follow_configuration(node: Arc<Node>) {
    let mut backoff = Backoff::new();
    loop {
        let reason = match read_and_watch(&node, &mut backoff).await {
            Err(reason) => reason,
            Ok(never) => match never {},
        };
        tracing::warn!(%reason, "configuration can't be followed, it is read anew");
        backoff.wait().await;
    }
}

async fn read_and_watch(
    node: &Arc<Node>,
    backoff: &mut Backoff,
) -> Result<std::convert::Infallible, StoreError> {
    count(node);
    let stored = node.platform.read_configuration().await?;
    let mut at = stored.at;
    if let Some(document) = &stored.document {
        node.offer_configuration(document);
    }
    node.configuration_confirmed();
    loop {
        count(node);
        let watched = watch(node, at).await?;
        *backoff = Backoff::new();
        at = watched.at;
        if let Some(document) = &watched.document {
            node.offer_configuration(document);
        }
        node.configuration_confirmed();
        if watched.document.is_some() {
            sleep(WATCH_PAUSE).await;
        }
    }
}

/// Waits for a change. A watch that the store lost says nothing for the rest of its time, so it is
/// given up as soon as something else shows that it may be lost.
async fn watch(node: &Node, at: u64) -> Result<WatchedConfiguration, StoreError> {
    let _waiting = node.watch_waits();
    tokio::select! {
        watched = node.platform.watch_configuration(at, WATCH) => watched,
        () = node.watch_doubted() => Err(StoreError::Unknown("the watch may be lost".to_owned())),
    }
}

/// Fetches the configuration from a peer that has had a newer one for a while. Where this node's
/// own watch should have told of it, the watch is not trusted any more.
pub async fn follow_peers_configuration(node: Arc<Node>) {
    let mut behind_since: Option<Instant> = None;
    loop {
        sleep(PEER_LOOK).await;
        let Some(link) = node.peer_with_newer_configuration() else {
            behind_since = None;
            continue;
        };
        let since = *behind_since.get_or_insert_with(Instant::now);
        if since.elapsed() >= PEER_AHEAD {
            link.send(&Frame::of_link(Message::FetchConfiguration));
            node.doubt_watch();
        }
    }
}
