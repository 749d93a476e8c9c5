//! Keeps the partition map up to date: from the store, and from peers while the store is away.

use std::time::Duration;

use rand::{SeedableRng, rngs::SmallRng, seq::IteratorRandom};
use tallybridge_claims::{PartitionEntry, PartitionId, PartitionMap};
use tallybridge_core::NodeId;
use tallybridge_store::{StoreClient, StoreClientOptions, StoreError};
use tallybridge_wire::{Message, PartitionMapFetch};
use tokio::time::Instant;

use super::{REPLICA_TIMEOUT, ask_replica};
use crate::{
    actor::{
        claims::{ApplyPartitionMap, EntryOf, GetMapRecords, MapRecords},
        status::GetStatus,
    },
    context::NodeContext,
};

/// Where the store holds the map.
pub const MAP_KEY: &str = "tallybridge/claims/map";

/// Longest time that one watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Time to wait after the store did not answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two looks for a map at peers, while this node has none.
const FETCH_INTERVAL: Duration = Duration::from_secs(1);
/// Members asked each time. Most have a map unless the whole fleet has none; then asking more would
/// make every node open a link to every other.
const FETCH_FANOUT: usize = 3;
/// Wait for the store's watch to bring a map that no replica has yet.
const NEWER_MAP_WAIT: Duration = Duration::from_millis(20);

/// A client of the store.
pub(super) fn store_client(context: &NodeContext) -> Option<StoreClient> {
    let options = StoreClientOptions::new(context.settings.store.clone());
    match StoreClient::new(options) {
        Ok(store) => Some(store),
        Err(error) => {
            tracing::error!(%error, "the store can't be followed");
            None
        }
    }
}

/// Follows the map in the store until the node stops.
pub async fn follow_map(context: NodeContext) {
    let Some(store) = store_client(&context) else {
        return;
    };
    let mut version = None;
    loop {
        let step = async {
            match version {
                None => read_map(&context, &store).await,
                Some(after) => watch_map(&context, &store, after).await,
            }
        };
        let stepped = tokio::select! {
            biased;
            () = context.shutdown.cancelled() => return,
            stepped = step => stepped,
        };
        match stepped {
            Ok(next) => version = Some(next),
            Err(error) => {
                tracing::debug!(%error, "the store did not answer about the partition map");
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

async fn read_map(context: &NodeContext, store: &StoreClient) -> Result<u64, StoreError> {
    let entry = store.get(MAP_KEY).await?;
    let Some(entry) = entry else {
        return Ok(0);
    };
    apply_text(context, &entry.value).await;
    Ok(entry.version)
}

async fn watch_map(
    context: &NodeContext,
    store: &StoreClient,
    after: u64,
) -> Result<u64, StoreError> {
    let changes = store.watch(MAP_KEY, after, WATCH_WAIT).await?;
    for change in &changes.entries {
        if let Some(value) = &change.value {
            apply_text(context, value).await;
        }
    }
    Ok(changes.version)
}

async fn apply_text(context: &NodeContext, text: &str) {
    match serde_json::from_str::<PartitionMap>(text) {
        // Fails only when the node is stopping.
        Ok(map) => {
            let _ = context.ask(ApplyPartitionMap(map)).await;
        }
        Err(error) => tracing::error!(%error, "the partition map in the store can't be read"),
    }
}

/// Fetches the map from peers as long as this node has none.
pub async fn fetch_first_map(context: NodeContext) {
    let mut random = SmallRng::seed_from_u64(context.identity.instance.0);
    let mut timer = tokio::time::interval(FETCH_INTERVAL);
    loop {
        tokio::select! {
            biased;
            () = context.shutdown.cancelled() => return,
            _ = timer.tick() => {}
        }
        let Ok(entry) = context.ask(EntryOf(PartitionId(0))).await else {
            return;
        };
        if entry.is_some() {
            return;
        }
        let Ok(status) = context.ask(GetStatus).await else {
            return;
        };
        let live = status.members.into_iter().filter(|member| {
            member.node != context.identity && !matches!(member.state, "dead" | "left")
        });
        let asked = live.choose_multiple(&mut random, FETCH_FANOUT);
        for member in asked {
            fetch(&context, member.node, false).await;
        }
    }
}

/// Fetches a node's map and takes it over.
pub async fn fetch(context: &NodeContext, node: NodeId, reports_wanted: bool) -> MapRecords {
    if node == context.identity {
        let records = context.ask(GetMapRecords { reports_wanted }).await;
        return records.unwrap_or_default();
    }
    let message = Message::PartitionMapFetch(PartitionMapFetch {
        reports_wanted: reports_wanted.into(),
    });
    let until = Instant::now() + REPLICA_TIMEOUT;
    let answer = ask_replica(context, node, message, until).await;
    let Some(Message::PartitionMapRecords(records)) = answer else {
        return MapRecords::default();
    };
    match serde_json::from_slice::<MapRecords>(&records.json) {
        Ok(records) => {
            // Fails only when the node is stopping.
            let _ = context.ask(ApplyPartitionMap(records.map.clone())).await;
            records
        }
        Err(error) => {
            tracing::warn!(%error, "a peer's partition map can't be read");
            MapRecords::default()
        }
    }
}

/// The entry of a partition in an epoch or a later one: this node's own by now, or a replica's.
pub async fn newer_entry(
    context: &NodeContext,
    partition: PartitionId,
    replicas: &[NodeId],
    epoch: u64,
) -> Option<PartitionEntry> {
    let fetches = replicas.iter().map(|node| fetch(context, *node, false));
    futures::future::join_all(fetches).await;
    if let Some(entry) = own_entry(context, partition, epoch).await {
        return Some(entry);
    }
    tokio::time::sleep(NEWER_MAP_WAIT).await;
    own_entry(context, partition, epoch).await
}

async fn own_entry(
    context: &NodeContext,
    partition: PartitionId,
    epoch: u64,
) -> Option<PartitionEntry> {
    let entry = context.ask(EntryOf(partition)).await.ok().flatten();
    entry.filter(|entry| entry.epoch >= epoch)
}
