//! Tests that all nodes agree on the owner of a tenant without exchanging messages.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
};

use tallybridge_mesh::{
    link::Link,
    protocol::NodeRecord,
    tables::{PeerTable, QuotaOwner},
};
use tokio::{sync::mpsc, time::Instant};

/// Number of services in each fleet.
const SERVICE_COUNT: u16 = 4;
const TENANT_COUNT: usize = 60;

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

/// Returns the record of a node, numbered from 1; `service_for` maps the node to its service.
fn node_record(number: u16, service_for: fn(u16) -> u16) -> NodeRecord {
    NodeRecord {
        node: format!("node-{number}"),
        address: address(number),
        zone: "a".to_owned(),
        service: format!("service-{}", service_for(number)),
        process: 1,
        slots: 0,
        registers_peers: false,
        keeps_notices: false,
    }
}

/// Builds the peer table of one node with links to all selected peers except the unreachable ones.
fn peer_table(own: u16, size: u16, service_for: fn(u16) -> u16, unreachable: &[u16]) -> PeerTable {
    let now = Instant::now();
    let mut table = PeerTable::new(node_record(own, service_for));
    for number in 1..=size {
        table.learn(node_record(number, service_for), now);
    }
    for request in table.select_links(now) {
        let number = request.address.port();
        if !unreachable.contains(&number) {
            let link = Arc::new(Link::new("peer", mpsc::unbounded_channel().0));
            assert!(table.record_link_opened(node_record(number, service_for), link, now));
        }
    }
    table
}

/// Returns the number of the node that owns a tenant, or `None` if the limit is split among all
/// nodes.
fn owner_of(table: &PeerTable, own: u16, tenant: &str) -> Option<u16> {
    match table.quota_owner(tenant) {
        QuotaOwner::Local => Some(own),
        QuotaOwner::Split(_) => None,
        QuotaOwner::Peer(link) => {
            let mut links = table.links();
            let found = links.find(|(_, candidate)| Arc::ptr_eq(candidate, &link));
            found.map(|(address, _)| address.port())
        }
    }
}

/// Returns the owner of each tenant and asserts that all reachable nodes agree on it.
fn owners(size: u16, service_for: fn(u16) -> u16, unreachable: &[u16]) -> Vec<u16> {
    let reachable = (1..=size).filter(|number| !unreachable.contains(number));
    let tables: HashMap<u16, PeerTable> = reachable
        .map(|own| (own, peer_table(own, size, service_for, unreachable)))
        .collect();
    let tenants = (0..TENANT_COUNT).map(|tenant| {
        let name = format!("tenant-{tenant}");
        let candidates: HashSet<_> = tables
            .iter()
            .map(|(own, table)| owner_of(table, *own, &name))
            .collect();
        assert_eq!(
            candidates.len(),
            1,
            "nodes disagree on the owner of {name}: {candidates:?}"
        );
        let owner = candidates.into_iter().next().flatten();
        owner.expect("the tenant has no single owner")
    });
    tenants.collect()
}

fn equal_services(number: u16) -> u16 {
    number % SERVICE_COUNT
}

/// Assigns every fifteenth node to a small service and the others to three large ones.
fn one_small_service(number: u16) -> u16 {
    if number.is_multiple_of(15) {
        0
    } else {
        1 + number % (SERVICE_COUNT - 1)
    }
}

#[tokio::test]
async fn nodes_agree_and_owners_are_spread() {
    let owners = owners(82, equal_services, &[]);
    let distinct: HashSet<_> = owners.iter().collect();
    assert!(
        distinct.len() > 35,
        "only {} distinct owners",
        distinct.len()
    );
}

#[tokio::test]
async fn node_loss_moves_only_its_tenants() {
    let unreachable = [3, 17, 40];
    let before = owners(82, equal_services, &[]);
    let after = owners(82, equal_services, &unreachable);
    for (before, after) in before.iter().zip(&after) {
        assert!(!unreachable.contains(after));
        assert!(before == after || unreachable.contains(before));
    }
}

#[tokio::test]
async fn large_fleet_uses_owners_of_small_service() {
    let owners = owners(300, one_small_service, &[]);
    assert!(
        owners.iter().all(|owner| one_small_service(*owner) == 0),
        "{owners:?}"
    );
}

#[tokio::test]
async fn splits_limit_without_small_service() {
    let table = peer_table(1, 300, equal_services, &[]);
    let owner = table.quota_owner("tenant-1");
    assert!(matches!(owner, QuotaOwner::Split(300)), "{owner:?}");
}
