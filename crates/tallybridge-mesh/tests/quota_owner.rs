//! Which node owns the rate limit of a tenant: all nodes agree, without an exchange of messages.

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

/// Services of these fleets.
const SERVICES: u16 = 4;
const TENANTS: usize = 60;

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

/// The node of a number, counted from 1; `service_of` gives its service.
fn record(number: u16, service_of: fn(u16) -> u16) -> NodeRecord {
    NodeRecord {
        node: format!("node-{number}"),
        address: address(number),
        zone: "a".to_owned(),
        service: format!("service-{}", service_of(number)),
        process: 1,
        slots: 0,
    }
}

/// The table of one node of a fleet, with all the links that it wants; nodes of `lost` are not
/// reached.
fn table_of(own: u16, size: u16, service_of: fn(u16) -> u16, lost: &[u16]) -> PeerTable {
    let now = Instant::now();
    let mut table = PeerTable::new(record(own, service_of));
    for number in 1..=size {
        table.learn(record(number, service_of), now);
    }
    for order in table.select_links(now) {
        let number = order.address.port();
        if !lost.contains(&number) {
            let link = Arc::new(Link::new("peer", mpsc::unbounded_channel().0));
            assert!(table.record_link_opened(record(number, service_of), link, now));
        }
    }
    table
}

/// The number of the node that a node takes for the owner of a tenant; `None` where each keeps a part.
fn owner_of(table: &PeerTable, own: u16, tenant: &str) -> Option<u16> {
    match table.quota_owner(tenant) {
        QuotaOwner::Local => Some(own),
        QuotaOwner::Split(_) => None,
        QuotaOwner::Peer(link) => {
            let mut links = table.links();
            let found = links.find(|(_, of)| Arc::ptr_eq(of, &link));
            found.map(|(address, _)| address.port())
        }
    }
}

/// The owners of all tenants, if all nodes that are there agree on each.
fn owners(size: u16, service_of: fn(u16) -> u16, lost: &[u16]) -> Vec<u16> {
    let there = (1..=size).filter(|number| !lost.contains(number));
    let tables: HashMap<u16, PeerTable> = there
        .map(|own| (own, table_of(own, size, service_of, lost)))
        .collect();
    let tenants = (0..TENANTS).map(|tenant| {
        let name = format!("tenant-{tenant}");
        let seen: HashSet<_> = tables
            .iter()
            .map(|(own, table)| owner_of(table, *own, &name))
            .collect();
        assert_eq!(seen.len(), 1, "{name}: {seen:?}");
        let owner = seen.into_iter().next().flatten();
        owner.expect("an owner")
    });
    tenants.collect()
}

fn evenly(number: u16) -> u16 {
    number % SERVICES
}

/// A small service of every fifteenth node, and three large ones.
fn one_small(number: u16) -> u16 {
    if number.is_multiple_of(15) {
        0
    } else {
        1 + number % (SERVICES - 1)
    }
}

#[tokio::test]
async fn all_nodes_agree_and_tenants_are_spread() {
    let owners = owners(82, evenly, &[]);
    let distinct: HashSet<_> = owners.iter().collect();
    assert!(distinct.len() > 35, "{} owners", distinct.len());
}

#[tokio::test]
async fn the_loss_of_nodes_moves_only_their_tenants() {
    let lost = [3, 17, 40];
    let before = owners(82, evenly, &[]);
    let after = owners(82, evenly, &lost);
    for (before, after) in before.iter().zip(&after) {
        assert!(!lost.contains(after));
        assert!(before == after || lost.contains(before));
    }
}

#[tokio::test]
async fn in_a_large_fleet_the_nodes_of_a_small_service_are_owners() {
    let owners = owners(300, one_small, &[]);
    assert!(
        owners.iter().all(|owner| one_small(*owner) == 0),
        "{owners:?}"
    );
}

#[tokio::test]
async fn where_no_service_is_small_each_node_keeps_a_part() {
    let table = table_of(1, 300, evenly, &[]);
    let owner = table.quota_owner("tenant-1");
    assert!(matches!(owner, QuotaOwner::Split(300)), "{owner:?}");
}
