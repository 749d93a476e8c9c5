//! The partition map reaches the nodes that don't watch the store, and they cost the store nothing.

mod support;

use std::time::Duration;

use support::fleet::{Fleet, TIMES};
use tallybridge_claims::{PartitionEntry, PartitionId, PartitionMap};
use tallybridge_node::{StoreTimes, actor::claims::EntryOf, connections::claims::map::MAP_KEY};
use tallybridge_store::Expectation;

/// Nodes of a zone that watch the store.
const WATCHERS: usize = 2;
/// Changes of the map while requests are counted.
const CHANGES: u64 = 6;
/// Requests that a change may take: a watch by each watcher, the test's own read and write, and
/// as many again for first reads and for watches that end without a change on a slow machine.
/// Fewer than the nodes of the larger fleet, were each of them to watch.
const REQUESTS_PER_CHANGE: u64 = 8;
/// The partition that changes.
const PARTITION: PartitionId = PartitionId(0);

async fn epoch(fleet: &Fleet, position: usize) -> u64 {
    let context = &fleet.nodes[position].context;
    let entry = context
        .ask(EntryOf(PARTITION))
        .await
        .expect("the node runs");
    entry.map_or(0, |entry| entry.epoch)
}

async fn watchers(fleet: &Fleet) -> usize {
    let mut watchers = 0;
    for position in 0..fleet.nodes.len() {
        watchers += usize::from(fleet.status(position).await.watches_store);
    }
    watchers
}

async fn reach(fleet: &Fleet, wanted: u64) {
    for position in 0..fleet.nodes.len() {
        fleet
            .wait_for(&format!("epoch {wanted} at node {position}"), async || {
                epoch(fleet, position).await >= wanted
            })
            .await;
    }
}

/// Writes a map with one more epoch of the partition, past all nodes, and gives that epoch.
async fn change_map(fleet: &Fleet) -> u64 {
    let store = fleet.client();
    let stored = store.get(MAP_KEY).await.expect("the store answers");
    let stored = stored.expect("a map");
    let map: PartitionMap = serde_json::from_str(&stored.value).expect("a map");
    let mut entries: Vec<PartitionEntry> = map.iter().map(|(_, entry)| entry.clone()).collect();
    let changed = &mut entries[PARTITION.index()];
    changed.epoch += 1;
    let epoch = changed.epoch;
    let text = serde_json::to_string(&PartitionMap::new(entries)).expect("a map");
    let expectation = Expectation::Version(stored.version);
    let written = store.put(MAP_KEY, text, expectation).await;
    written.expect("nobody else changes the map");
    epoch
}

async fn requests_for_changes(nodes: usize) -> u64 {
    let times = StoreTimes {
        // No watcher loses its duty on a busy machine.
        duty_ttl: Duration::from_secs(60),
        ..TIMES
    };
    let fleet = Fleet::start(nodes, times).await;
    reach(&fleet, 1).await;
    fleet
        .wait_for("two watchers", async || watchers(&fleet).await == WATCHERS)
        .await;
    let before = fleet.store.requests_for(MAP_KEY);
    for _ in 0..CHANGES {
        let epoch = change_map(&fleet).await;
        reach(&fleet, epoch).await;
    }
    assert_eq!(watchers(&fleet).await, WATCHERS);
    fleet.store.requests_for(MAP_KEY) - before
}

#[tokio::test]
async fn nodes_that_do_not_watch_learn_of_a_map_without_requests_to_the_store() {
    let mut requests = Vec::new();
    for nodes in [4, 10] {
        requests.push(requests_for_changes(nodes).await);
    }
    let most = CHANGES * REQUESTS_PER_CHANGE;
    assert!(
        requests.iter().all(|requests| *requests <= most),
        "4 and 10 nodes sent {requests:?} requests for {CHANGES} changes, at most {most} are due"
    );
    println!("{requests:?} requests");
}
