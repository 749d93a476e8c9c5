//! Writes the partition map when its replicas change.

use std::{collections::BTreeSet, time::Duration};

use tallybridge_claims::{PartitionMap, SyncReport, partition::REPLICAS};
use tallybridge_core::NodeId;
use tallybridge_store::{Expectation, StoreClient, StoreError};
use tokio::time::Instant;

use super::map::{MAP_KEY, fetch, store_client};
use crate::{
    actor::claims::{ApplyPartitionMap, GetMapRecords, GetPlannerRole, PlanMap},
    context::NodeContext,
};

/// Time between two looks at the replicas.
const INTERVAL: Duration = Duration::from_secs(1);
/// How long the first map waits for enough nodes. One made earlier would be made over at once.
const FIRST_MAP_WAIT: Duration = Duration::from_secs(3);

/// Plans until the node stops. Any node may: the map changes by compare-and-swap alone, and the
/// first of the live nodes is chosen only so that they don't all try.
pub async fn plan_partitions(context: NodeContext) {
    let Some(store) = store_client(&context) else {
        return;
    };
    let patience = Instant::now() + FIRST_MAP_WAIT;
    let mut timer = tokio::time::interval(INTERVAL);
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            biased;
            () = context.shutdown.cancelled() => return,
            _ = timer.tick() => {}
        }
        let Ok(role) = context.ask(GetPlannerRole).await else {
            return;
        };
        let enough = role.live >= REPLICAS || Instant::now() >= patience;
        if role.plans
            && enough
            && let Err(error) = plan_once(&context, &store).await
        {
            tracing::debug!(%error, "the partition map was not written");
        }
    }
}

/// Writes the next map if it differs. The store is asked only when this node's own map needs a
/// change.
async fn plan_once(context: &NodeContext, store: &StoreClient) -> Result<(), StoreError> {
    let own = context.ask(GetMapRecords {
        reports_wanted: false,
    });
    let Ok(own) = own.await else { return Ok(()) };
    let reports = reports(context, &own.map).await;
    if next(context, &own.map, &reports).await == own.map {
        return Ok(());
    }
    let stored = store.get(MAP_KEY).await?;
    let (current, expectation) = match &stored {
        Some(entry) => (parse(&entry.value)?, Expectation::Version(entry.version)),
        None => (PartitionMap::default(), Expectation::Absent),
    };
    let planned = next(context, &current, &reports).await;
    if planned != current {
        let text = serde_json::to_string(&planned).map_err(protocol)?;
        store.put(MAP_KEY, text, expectation).await?;
        tracing::info!("partition map written");
    }
    // Fails only when the node is stopping.
    let _ = context.ask(ApplyPartitionMap(planned)).await;
    Ok(())
}

async fn next(
    context: &NodeContext,
    current: &PartitionMap,
    reports: &BTreeSet<SyncReport>,
) -> PartitionMap {
    let plan = PlanMap {
        current: current.clone(),
        reports: reports.clone(),
    };
    let planned = context.ask(plan).await;
    planned.unwrap_or_else(|_| current.clone())
}

/// What the joining replicas say about themselves.
async fn reports(context: &NodeContext, map: &PartitionMap) -> BTreeSet<SyncReport> {
    let joining: BTreeSet<NodeId> = map
        .iter()
        .flat_map(|(_, entry)| entry.joining.iter().copied())
        .collect();
    let mut reports = BTreeSet::new();
    for node in joining {
        let records = fetch(context, node, true).await;
        reports.extend(records.synchronised.iter().map(|one| SyncReport {
            node,
            partition: one.partition,
            epoch: one.epoch,
        }));
    }
    reports
}

fn parse(text: &str) -> Result<PartitionMap, StoreError> {
    serde_json::from_str(text).map_err(protocol)
}

fn protocol(error: serde_json::Error) -> StoreError {
    StoreError::Protocol {
        detail: format!("{MAP_KEY}: {error}"),
    }
}
