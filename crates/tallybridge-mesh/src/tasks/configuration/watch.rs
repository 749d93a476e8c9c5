//! Reads the configuration from the store and watches it for changes.

use std::{sync::Arc, time::Duration};

use tokio::time::sleep;

use super::watchers::{wait_for_links, wait_until_watch_needed, wait_until_watch_unneeded};
use crate::{
    clock::BootInstant,
    node::Node,
    platform::{Consistency, StoreError, WatchedConfiguration},
    tasks::backoff::{Backoff, count_store_call},
};

/// Longest wait for a change in one call. Each call to the store is billed, so the timeout is long;
/// renewals of the registration show whether the store still answers.
const WATCH_TIMEOUT: Duration = Duration::from_secs(25);
/// Pause after a change, which lets one call return several changes in quick succession.
const PAUSE_AFTER_CHANGE: Duration = Duration::from_millis(400);

/// Watches the store for changes; in a large fleet only while too few peers do. Never returns.
pub async fn follow_configuration(node: Arc<Node>) {
    let mut backoff = Backoff::new();
    if !node.settings.new_fleet {
        put_recent_configuration_in_force(&node).await;
    }
    wait_for_links(&node).await;
    loop {
        wait_until_watch_needed(&node).await;
        match read_and_watch(&node, &mut backoff).await {
            Ok(()) => tracing::info!("enough peers watch the store; following their configuration"),
            Err(reason) => {
                tracing::warn!(%reason, "cannot watch the configuration; reading it again after a delay");
                backoff.wait().await;
            }
        }
    }
}

/// Reads the configuration, then watches it until enough peers watch it.
async fn read_and_watch(node: &Arc<Node>, backoff: &mut Backoff) -> Result<(), StoreError> {
    // This counts the read twice, because `read_configuration` counts it as well.
    count_store_call(node);
    let mut revision = read_configuration(node).await?;
    let _watcher_role = node.start_watching();
    loop {
        count_store_call(node);
        let watched = tokio::select! {
            watched = watch_configuration(node, revision) => watched?,
            () = wait_until_watch_unneeded(node) => return Ok(()),
        };
        *backoff = Backoff::new();
        revision = watched.revision;
        if let Some(document) = &watched.document {
            // Logs a document that cannot be decoded and keeps the previous one.
            let _ = node.offer_configuration(document);
            node.record_version_from_store();
        }
        node.configuration_confirmed(BootInstant::now());
        if watched.document.is_some() {
            sleep(PAUSE_AFTER_CHANGE).await;
        }
    }
}

/// Puts a configuration in force that may be some seconds old, so that a restarted node serves before
/// it or its peers watch the store. It is not confirmed by this read: until a peer or the store
/// confirms it, no request is refused for lack of a route, and none with a key is admitted.
async fn put_recent_configuration_in_force(node: &Node) {
    count_store_call(node);
    match node.platform.read_configuration(Consistency::Recent).await {
        Ok(stored) => {
            // Logs a document that cannot be decoded.
            stored
                .document
                .map(|document| node.offer_configuration(&document));
        }
        Err(reason) => {
            tracing::debug!(%reason, "cannot read a recent configuration; waiting for the watch");
        }
    }
}

/// Reads the newest configuration, puts it in force and returns the store's revision.
pub(super) async fn read_configuration(node: &Node) -> Result<u64, StoreError> {
    count_store_call(node);
    let requested_at = BootInstant::now();
    let stored = node
        .platform
        .read_configuration(Consistency::Linearizable)
        .await?;
    let is_in_force = match &stored.document {
        Some(document) => node.offer_configuration(document),
        None => true,
    };
    node.record_version_from_store();
    if is_in_force {
        node.configuration_read(requested_at);
    }
    Ok(stored.revision)
}

/// Waits for a change after `revision`. A watch that the store dropped stays pending until its
/// timeout, so a suspected watch is cancelled.
async fn watch_configuration(
    node: &Node,
    revision: u64,
) -> Result<WatchedConfiguration, StoreError> {
    let _pending_watch = node.track_pending_watch();
    tokio::select! {
        watched = node.platform.watch_configuration(revision, WATCH_TIMEOUT) => watched,
        () = node.watch_suspected() => Err(StoreError::Unknown("the store may have dropped the watch".to_owned())),
    }
}
