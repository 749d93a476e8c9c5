//! Links that nobody uses are closed; one that is used is not.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::Arc,
    time::{Duration, Instant},
};

use tallybridge_config::Settings;
use tallybridge_core::{InstanceId, RegionName, ZoneName};
use tallybridge_node::{
    NodeParts, RunningNode,
    connections::{
        peer::{links::IDLE_TIMEOUT, network::SocketNetwork},
        store::StoreTimes,
    },
    start_core,
};
use tallybridge_wire::{ConfigurationFetch, Message};

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    listener.local_addr().expect("an address")
}

async fn node() -> RunningNode {
    let address = free_address();
    let settings = Settings {
        peer_address: address,
        caller_address: address,
        admin_address: address,
        region: RegionName::from("south"),
        zone: ZoneName::from("a"),
        rack: String::new(),
        backend: None,
        store: Vec::new(),
        machine_list: None,
        seeds: Vec::new(),
        log: String::new(),
        drain_ms: 0,
    };
    let parts = NodeParts {
        instance: InstanceId::random(),
        network: Arc::new(SocketNetwork),
        backend: None,
        store_times: StoreTimes::default(),
    };
    start_core(settings, parts).await.expect("the node starts")
}

/// Later than the idle time of everything asked for so far.
fn later() -> Instant {
    Instant::now() + IDLE_TIMEOUT + Duration::from_secs(1)
}

#[tokio::test]
async fn a_link_is_closed_once_it_is_idle_and_opened_again_when_asked_for() {
    let (one, other) = (node().await, node().await);
    let links = &one.context.links;
    let peer = other.context.identity;
    let closed = {
        let link = links.link_to(peer).await.expect("opens");
        links.close_idle(Instant::now());
        assert_eq!(links.len(), 1, "it was asked for just now");
        link.closed.clone()
    };
    links.close_idle(later());
    assert!(links.is_empty());
    assert!(closed.is_cancelled());
    let fetch = Message::ConfigurationFetch(ConfigurationFetch { after: 0 });
    let reply = links.request(peer, fetch).await.expect("opens again");
    assert!(matches!(reply.message, Message::ConfigurationRecords(_)));
}

#[tokio::test]
async fn a_link_that_is_held_stays_open_however_long_ago_it_was_asked_for() {
    let (one, other) = (node().await, node().await);
    let links = &one.context.links;
    let peer = other.context.identity;
    let link = links.link_to(peer).await.expect("opens");
    links.close_idle(later());
    assert_eq!(links.len(), 1);
    assert!(!link.closed.is_cancelled());
    let same = links.link_to(peer).await.expect("is open");
    assert!(Arc::ptr_eq(&link, &same));
}
