//! Counts the requests that a fleet of nodes in one process sends to the store.
//!
//! `cargo run --release -p tallybridge-integration --example store_requests -- NODES ZONES SETTLE SECONDS`
//!
//! Prints a JSON line with the requests of each kind in the start, which lasts until every node has
//! the first revision and SETTLE seconds more, and in the SECONDS after it, in which one change is
//! made every ten seconds. SETTLE should be above the mean time between a node's looks at the
//! duties, since the first looks come together.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    time::Duration,
};

use rand::{SeedableRng, rngs::SmallRng};
use serde_json::json;
use tallybridge_config::{Edit, Revision, Settings, Tenant};
use tallybridge_core::{RegionName, TenantName, ZoneName};
use tallybridge_lab::standin::store::{RequestCounts, StoreOptions, StoreStandin};
use tallybridge_node::{
    RunningNode,
    actor::{configuration::CurrentRevision, status::GetOwnStatus},
    start,
};
use tallybridge_store::{
    ChangeRequest, ConfigurationLog, StoreClient, StoreClientOptions, log::LogOptions,
};
use tokio::time::Instant;
use uuid::Uuid;

/// Time between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_secs(10);
/// Requests of the operator for a change that meets no other: snapshot, log, record.
const REQUESTS_PER_CHANGE: u64 = 3;
/// Time between two looks at the nodes.
const POLL: Duration = Duration::from_millis(20);

#[tokio::main]
async fn main() {
    let arguments: Vec<u64> = std::env::args()
        .skip(1)
        .map(|argument| argument.parse().expect("a number"))
        .collect();
    let [nodes, zones, settle, seconds] = arguments[..] else {
        panic!("give the number of nodes, of zones and of seconds twice");
    };
    let store = StoreStandin::serve(StoreOptions::default()).await;
    let store = store.expect("the store listens");
    let client = StoreClient::new(StoreClientOptions::new(vec![store.address()]));
    let log = ConfigurationLog::new(client.expect("a client"), LogOptions::default());
    append(&log, 0).await;

    let before_start = store.requests();
    let started = Instant::now();
    let fleet = start_fleet(nodes, zones, store.address()).await;
    reach(&fleet, Revision(1)).await;
    let loaded = started.elapsed();
    tokio::time::sleep(Duration::from_secs(settle)).await;
    let after_start = store.requests();

    let mut changes = 0;
    let mut slowest = Duration::ZERO;
    let end = Instant::now() + Duration::from_secs(seconds);
    while Instant::now() + CHANGE_INTERVAL <= end {
        changes += 1;
        append(&log, changes).await;
        let made = Instant::now();
        reach(&fleet, Revision(changes + 1)).await;
        slowest = slowest.max(made.elapsed());
        tokio::time::sleep_until(made + CHANGE_INTERVAL).await;
    }
    let steady = store.requests();
    let mut watchers = 0;
    for node in &fleet {
        let status = node.context.ask(GetOwnStatus).await.expect("runs");
        watchers += u64::from(status.watches_store);
    }
    let figures = json!({
        "nodes": nodes, "zones": zones, "watchers": watchers,
        "loaded_ms": loaded.as_millis(),
        "start_requests": total(&after_start) - total(&before_start),
        "steady_seconds": changes * CHANGE_INTERVAL.as_secs(),
        "changes": changes,
        "slowest_in_force_ms": slowest.as_millis(),
        "fleet_requests": total(&steady) - total(&after_start) - changes * REQUESTS_PER_CHANGE,
        "before": after_start, "after": steady,
    });
    println!("{figures}");
}

fn total(counts: &RequestCounts) -> u64 {
    counts.get
        + counts.list
        + counts.put
        + counts.delete
        + counts.watch
        + counts.grant
        + counts.renew
        + counts.revoke
}

async fn append(log: &ConfigurationLog, number: u64) {
    let change = ChangeRequest {
        base: Revision(number),
        edits: vec![Edit::PutTenant(Tenant {
            name: TenantName::from(format!("tenant-{number}")),
            overrides: Vec::new(),
        })],
        author: "operator".to_owned(),
        comment: String::new(),
        change_id: Uuid::now_v7(),
    };
    let deadline = Instant::now() + CHANGE_INTERVAL;
    let mut random = SmallRng::seed_from_u64(number);
    let made = log.append(&change, deadline, &mut random).await;
    made.expect("the change is made");
}

async fn start_fleet(nodes: u64, zones: u64, store: SocketAddr) -> Vec<RunningNode> {
    let mut fleet = Vec::new();
    let mut seeds = Vec::new();
    for number in 0..nodes {
        let settings = Settings {
            peer_address: free_address(),
            caller_address: free_address(),
            admin_address: free_address(),
            region: RegionName::from("south"),
            zone: ZoneName::from(format!("zone-{}", number % zones)),
            rack: String::new(),
            backend: None,
            store: vec![store],
            machine_list: None,
            seeds: seeds.clone(),
            log: "off".to_owned(),
            drain_ms: 1_000,
        };
        // A few seeds, as a machine list that lags would give.
        if number < 3 {
            seeds.push(settings.peer_address);
        }
        fleet.push(start(settings).await.expect("the node starts"));
    }
    fleet
}

async fn reach(fleet: &[RunningNode], revision: Revision) {
    for node in fleet {
        while node.context.ask(CurrentRevision).await.expect("runs") < revision {
            tokio::time::sleep(POLL).await;
        }
    }
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    listener.local_addr().expect("an address")
}
