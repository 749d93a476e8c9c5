//! Reading the configuration from the store and watching it there.

use std::{sync::Arc, time::Duration};

use tokio::time::sleep;

use super::watchers::{links_opened, relieved, watch_needed};
use crate::{
    clock::BootInstant,
    node::Node,
    platform::{StoreError, WatchedConfiguration},
    tasks::backoff::{Backoff, count_store_call},
};

/// Longest wait for a change in one call. Every call is paid for, so a watch waits long; that the
/// store still answers is shown by the renewals of the registration, which cost far less. Watches
/// of 4 s took 245 calls of twelve nodes on a calm day, these 127.
const WATCH: Duration = Duration::from_secs(25);
/// Wait after a change, so that several in quick succession are read in one call. Origin of the figure not
/// recorded.
const WATCH_PAUSE: Duration = Duration::from_millis(400);

/// Follows the configuration for as long as the process lives: by watching the store while that is needed,
/// and else by what peers report.
pub async fn follow_configuration(node: Arc<Node>) {
    let mut backoff = Backoff::new();
    links_opened(&node).await;
    loop {
        watch_needed(&node).await;
        match read_and_watch(&node, &mut backoff).await {
            Ok(()) => tracing::info!("enough peers watch the store, they are followed"),
            Err(reason) => {
                tracing::warn!(%reason, "configuration can't be followed, it is read anew");
                backoff.wait().await;
            }
        }
    }
}

/// Watches the store until enough others do.
async fn read_and_watch(node: &Arc<Node>, backoff: &mut Backoff) -> Result<(), StoreError> {
    // `read` counts this call once more.
    count_store_call(node);
    let mut revision = read(node).await?;
    let _role = node.start_watching();
    loop {
        count_store_call(node);
        let watched = tokio::select! {
            watched = watch(node, revision) => watched?,
            () = relieved(node) => return Ok(()),
        };
        *backoff = Backoff::new();
        revision = watched.revision;
        if let Some(document) = &watched.document {
            // One that can't be read is logged there, and the last one stays.
            let _ = node.offer_configuration(document);
            node.record_version_from_store();
        }
        node.configuration_confirmed(BootInstant::now());
        if watched.document.is_some() {
            sleep(WATCH_PAUSE).await;
        }
    }
}

/// Reads the newest configuration and takes it into force; gives the store's revision.
pub(super) async fn read(node: &Node) -> Result<u64, StoreError> {
    count_store_call(node);
    let asked_at = BootInstant::now();
    let stored = node.platform.read_configuration().await?;
    let is_in_force = match &stored.document {
        Some(document) => node.offer_configuration(document),
        None => true,
    };
    node.record_version_from_store();
    if is_in_force {
        node.configuration_read(asked_at);
    }
    Ok(stored.revision)
}

/// Waits for a change. A watch that the store lost says nothing for the rest of its time, so it is given up
/// as soon as something else shows that it may be lost.
async fn watch(node: &Node, revision: u64) -> Result<WatchedConfiguration, StoreError> {
    let _pending = node.track_pending_watch();
    tokio::select! {
        watched = node.platform.watch_configuration(revision, WATCH) => watched,
        () = node.watch_suspected() => Err(StoreError::Unknown("the watch may be lost".to_owned())),
    }
}
