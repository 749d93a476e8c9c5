//! Keeps the partition map up to date: from the store at the nodes that watch it, and from peers.

use std::{convert::Infallible, time::Duration};

use rand::{SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use tallybridge_claims::{PartitionEntry, PartitionId, PartitionMap};
use tallybridge_core::{NodeId, Refusal};
use tallybridge_store::{StoreClient, StoreClientOptions, StoreError};
use tallybridge_wire::{Message, PartitionMapFetch};
use tokio::time::Instant;

use super::{REPLICA_TIMEOUT, ask_replica};
use crate::{
    actor::{
        claims::{ApplyPartitionMap, EntryOf, GetMapRecords, MapRecords, MapVersion},
        fleet::HoldsWatch,
        status::OtherMembers,
    },
    context::NodeContext,
};

/// Where the store holds the map.
pub const MAP_KEY: &str = "tallybridge/claims/map";

/// Longest time that one watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Time to wait after the store did not answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two looks at whether this node is to watch the store.
const DUTY_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two looks for a map at peers, while this node has none.
const FETCH_INTERVAL: Duration = Duration::from_secs(1);
/// Members that are asked for a first map at each look.
const MEMBERS_PER_LOOK: usize = 3;
/// Wait for the fleet or the store to bring a map that no replica has yet.
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

/// Follows the map in the store until the node stops, while this node holds a duty to watch it.
/// The other nodes learn of a newer map from the fleet.
pub async fn follow_map(context: NodeContext) {
    let Some(store) = store_client(&context) else {
        return;
    };
    loop {
        let followed = async {
            wait_for_duty(&context, true).await?;
            tokio::select! {
                biased;
                lost = wait_for_duty(&context, false) => lost,
                never = follow_under_duty(&context, &store) => match never {},
            }
        };
        let followed = tokio::select! {
            biased;
            () = context.shutdown.cancelled() => return,
            followed = followed => followed,
        };
        if followed.is_err() {
            return;
        }
    }
}

/// Waits until this node holds a duty, or holds none. Fails when the node stops.
async fn wait_for_duty(context: &NodeContext, held: bool) -> Result<(), Refusal> {
    while context.ask(HoldsWatch).await? != held {
        tokio::time::sleep(DUTY_INTERVAL).await;
    }
    Ok(())
}

/// Reads the map, since it may have changed while nobody watched, and watches it from there.
async fn follow_under_duty(context: &NodeContext, store: &StoreClient) -> Infallible {
    let mut version = None;
    loop {
        let step = match version {
            None => read_map(context, store).await,
            Some(after) => watch_map(context, store, after).await,
        };
        match step {
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

/// Fetches the map from a few peers at a time as long as this node has none.
pub async fn fetch_first_map(context: NodeContext) {
    let mut random = SmallRng::seed_from_u64(context.identity.instance.0);
    let mut timer = tokio::time::interval(FETCH_INTERVAL);
    loop {
        tokio::select! {
            biased;
            () = context.shutdown.cancelled() => return,
            _ = timer.tick() => {}
        }
        let Ok(members) = context.ask(OtherMembers).await else {
            return;
        };
        let chosen = members.choose_multiple(&mut random, MEMBERS_PER_LOOK);
        for node in chosen {
            match context.ask(MapVersion).await {
                Ok(0) => fetch(&context, *node, false).await,
                // There is a map, or the node stops.
                _ => return,
            };
        }
    }
}

/// Fetches a node's map and takes it over; gives nothing when the node does not answer as soon as
/// a replica has to.
pub async fn fetch(context: &NodeContext, node: NodeId, reports_wanted: bool) -> MapRecords {
    let until = Instant::now() + REPLICA_TIMEOUT;
    fetch_until(context, node, reports_wanted, until).await
}

/// Fetches a node's map and takes it over; gives nothing when it does not come in time.
pub(super) async fn fetch_until(
    context: &NodeContext,
    node: NodeId,
    reports_wanted: bool,
    until: Instant,
) -> MapRecords {
    if node == context.identity {
        let records = context.ask(GetMapRecords { reports_wanted }).await;
        return records.unwrap_or_default();
    }
    let message = Message::PartitionMapFetch(PartitionMapFetch {
        reports_wanted: reports_wanted.into(),
    });
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
