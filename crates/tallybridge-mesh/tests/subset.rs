//! Selection of the nodes that a node links to in a large fleet.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use tallybridge_mesh::{
    link::Link,
    protocol::NodeRecord,
    tables::{LinkRequest, PeerTable},
};
use tokio::{sync::mpsc, time::Instant};

const ZONES: [&str; 4] = ["a", "b", "c", "d"];
/// Executors of one service that a node links to when there are few services.
const MAX_LINKS: usize = 32;

/// Creates the record of a node, whose zone and service depend on `number`.
fn record(number: u16, services: u16) -> NodeRecord {
    NodeRecord {
        node: format!("node-{number}"),
        address: SocketAddr::from(([127, 0, 0, 1], number)),
        zone: ZONES[usize::from(number / services) % ZONES.len()].to_owned(),
        service: format!("service-{}", number % services),
        process: 1,
        slots: 0,
        registers_peers: false,
        keeps_notices: false,
    }
}

fn learn(table: &mut PeerTable, numbers: std::ops::Range<u16>, services: u16, now: Instant) {
    for number in numbers {
        table.learn(record(number, services), now);
    }
}

/// Opens the requested links and returns the numbers of their nodes.
fn open_links(
    table: &mut PeerTable,
    requests: &[LinkRequest],
    services: u16,
    now: Instant,
) -> Vec<u16> {
    let mut opened: Vec<u16> = requests
        .iter()
        .map(|request| request.address.port())
        .collect();
    opened.sort_unstable();
    for number in &opened {
        let link = Arc::new(Link::new("peer", mpsc::unbounded_channel().0));
        assert!(table.record_link_opened(record(*number, services), link, now));
    }
    opened
}

fn link_to(table: &PeerTable, number: u16) -> Option<Arc<Link>> {
    let mut links = table.links();
    let found = links.find(|(address, _)| address.port() == number);
    found.map(|(_, link)| link.clone())
}

#[tokio::test]
async fn links_to_all_executors_of_small_services() {
    let now = Instant::now();
    let mut table = PeerTable::new(record(0, 4));
    learn(&mut table, 0..104, 4, now);
    let opened = select_and_open_links(&mut table, 4, now);
    assert_eq!(opened, (1..104).collect::<Vec<_>>());
    assert_eq!(
        table.select_links(now),
        [],
        "the links were requested twice"
    );
}

fn select_and_open_links(table: &mut PeerTable, services: u16, now: Instant) -> Vec<u16> {
    let requests = table.select_links(now);
    open_links(table, &requests, services, now)
}

#[tokio::test]
async fn links_to_subset_mostly_in_own_zone() {
    let now = Instant::now();
    let mut table = PeerTable::new(record(0, 4));
    learn(&mut table, 1..1001, 4, now);
    let opened = select_and_open_links(&mut table, 4, now);
    let mut by_service: HashMap<String, (usize, usize)> = HashMap::new();
    for number in opened {
        let record = record(number, 4);
        let (own_zone, other_zones) = by_service.entry(record.service).or_default();
        *(if record.zone == "a" {
            own_zone
        } else {
            other_zones
        }) += 1;
    }
    assert_eq!(by_service.len(), 4);
    assert!(
        by_service.values().all(|counts| *counts == (20, 12)),
        "{by_service:?}"
    );
    assert_eq!(table.subset_size(), 4 * MAX_LINKS + 1);
    assert_eq!(table.known_size(), 1001);
}

#[tokio::test]
async fn other_zones_replace_a_missing_own_zone() {
    let now = Instant::now();
    let mut table = PeerTable::new(NodeRecord {
        zone: "empty".to_owned(),
        ..record(0, 1)
    });
    learn(&mut table, 1..201, 1, now);
    assert_eq!(select_and_open_links(&mut table, 1, now).len(), MAX_LINKS);
}

#[tokio::test]
async fn more_services_reduce_links_per_service() {
    let now = Instant::now();
    let mut table = PeerTable::new(record(0, 54));
    learn(&mut table, 1..920, 54, now);
    let opened = select_and_open_links(&mut table, 54, now);
    assert!(opened.len() <= 54 * 8, "{}", opened.len());
    let links_to_one_service = opened.iter().filter(|number| *number % 54 == 7).count();
    assert_eq!(links_to_one_service, 8);
}

#[tokio::test]
async fn links_are_spread_evenly_over_executors() {
    let now = Instant::now();
    let mut links: HashMap<u16, u32> = HashMap::new();
    for own in 0..300 {
        let mut table = PeerTable::new(record(own, 3));
        learn(&mut table, 0..300, 3, now);
        for request in table.select_links(now) {
            *links.entry(request.address.port()).or_default() += 1;
        }
    }
    let (min, max) = (links.values().min().unwrap(), links.values().max().unwrap());
    assert_eq!(links.len(), 300);
    // An executor has 96 links on average, with a standard deviation of about 8.
    assert!(
        (60..=135).contains(min) && (60..=135).contains(max),
        "{min} to {max}"
    );
}

#[tokio::test(start_paused = true)]
async fn replaces_disconnected_peer_until_it_reconnects() {
    let start = Instant::now();
    let mut table = PeerTable::new(record(0, 1));
    learn(&mut table, 1..101, 1, start);
    let opened = select_and_open_links(&mut table, 1, start);
    let disconnected = opened[0];
    let link = link_to(&table, disconnected).unwrap();
    table.record_link_closed(record(disconnected, 1).address, &link);
    assert_eq!(
        table.select_links(start),
        [],
        "the peer was replaced before REPLACE_AFTER"
    );
    let later = start + Duration::from_secs(3);
    let replacements = select_and_open_links(&mut table, 1, later);
    assert_eq!(
        replacements.len(),
        1,
        "the disconnected peer was not replaced by one node"
    );
    assert_eq!(table.links().count(), MAX_LINKS);
    assert_eq!(table.select_links(later), []);

    let link = Arc::new(Link::new("peer", mpsc::unbounded_channel().0));
    assert!(
        table.record_link_opened(record(disconnected, 1), link, later),
        "the reconnected peer was rejected"
    );
    assert_eq!(table.select_links(later), []);
    assert_eq!(table.links().count(), MAX_LINKS);
    assert!(link_to(&table, disconnected).is_some());
    assert!(
        link_to(&table, replacements[0]).is_none(),
        "the replacement was not retired"
    );
}

#[tokio::test(start_paused = true)]
async fn replaces_unreachable_peer_but_awaits_restart() {
    let now = Instant::now();
    let mut table = PeerTable::new(record(0, 1));
    learn(&mut table, 1..101, 1, now);
    let requests = table.select_links(now);
    open_links(&mut table, &requests[1..], 1, now);
    table.record_link_failure(requests[0]);
    let replacements = table.select_links(now);
    assert_eq!(replacements.len(), 1);

    let restarting = requests[1];
    let link = link_to(&table, restarting.address.port()).unwrap();
    table.record_link_closed(restarting.address, &link);
    table.record_link_failure(restarting);
    assert_eq!(table.select_links(now), []);
}

#[tokio::test]
async fn better_ranked_nodes_replace_linked_nodes() {
    let now = Instant::now();
    let mut table = PeerTable::new(record(0, 1));
    learn(&mut table, 1..61, 1, now);
    let mut initial = select_and_open_links(&mut table, 1, now);
    learn(&mut table, 61..401, 1, now);
    let newly_opened = select_and_open_links(&mut table, 1, now);
    assert!(
        !newly_opened.is_empty(),
        "no new node ranks before a linked one"
    );
    // The links that were replaced are retired now.
    assert_eq!(table.select_links(now), []);
    assert_eq!(table.links().count(), MAX_LINKS);
    assert_eq!(table.known_size(), 401, "unselected nodes were forgotten");
    // The selection does not depend on the order in which nodes are learned.
    let mut other_table = PeerTable::new(record(0, 1));
    learn(&mut other_table, 1..401, 1, now);
    let mut chosen = select_and_open_links(&mut other_table, 1, now);
    let mut linked: Vec<u16> = table.links().map(|(address, _)| address.port()).collect();
    linked.sort_unstable();
    chosen.sort_unstable();
    initial.retain(|number| chosen.contains(number));
    assert_eq!(linked, chosen);
}

#[tokio::test(start_paused = true)]
async fn rejects_links_to_unselected_nodes() {
    let now = Instant::now();
    let mut table = PeerTable::new(record(0, 1));
    learn(&mut table, 1..61, 1, now);
    let first_requests = table.select_links(now);
    learn(&mut table, 61..1001, 1, now);
    let _ = table.select_links(now);
    let unwanted: Vec<_> = first_requests
        .iter()
        .filter(|request| !table.is_wanted(**request))
        .collect();
    assert!(!unwanted.is_empty());
    for request in unwanted {
        assert!(table.forget(*request, now));
        let link = Arc::new(Link::new("peer", mpsc::unbounded_channel().0));
        let record = record(request.address.port(), 1);
        assert!(
            !table.record_link_opened(record, link, now),
            "a link to an unselected node was accepted"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn forgets_unreachable_and_stale_nodes() {
    let start = Instant::now();
    let mut table = PeerTable::new(record(0, 1));
    learn(&mut table, 1..41, 1, start);
    let requests = table.select_links(start);
    assert_eq!(requests.len(), MAX_LINKS);
    // No link opens: unselected nodes replace the selected ones, which are forgotten after a
    // minute.
    let later = start + Duration::from_secs(4);
    assert_eq!(table.select_links(later).len(), 8);
    let much_later = start + Duration::from_secs(61);
    assert!(
        requests
            .iter()
            .all(|request| table.forget(*request, much_later))
    );
    assert_eq!(table.known_size(), 9);

    let mut table = PeerTable::new(record(0, 1));
    learn(&mut table, 1..41, 1, start);
    let _ = table.select_links(start);
    table.forget_unlinked(start + Duration::from_secs(299));
    assert_eq!(table.known_size(), 41);
    table.forget_unlinked(start + Duration::from_secs(300));
    assert_eq!(table.known_size(), MAX_LINKS + 1);
}

#[tokio::test(start_paused = true)]
async fn reselected_node_gets_a_new_link() {
    let now = Instant::now();
    let mut table = PeerTable::new(record(0, 1));
    learn(&mut table, 1..61, 1, now);
    let first_requests = table.select_links(now);
    let opened = open_links(&mut table, &first_requests, 1, now);
    let old_links: Vec<_> = opened
        .iter()
        .map(|number| link_to(&table, *number))
        .collect();
    // Better ranked nodes replace the first ones and are then lost, so the first are selected again.
    learn(&mut table, 61..1001, 1, now);
    for number in select_and_open_links(&mut table, 1, now) {
        assert_eq!(table.select_links(now), []);
        let link = link_to(&table, number).unwrap();
        table.record_link_closed(record(number, 1).address, &link);
    }
    let now = now + Duration::from_secs(3);
    let mut reselected = Vec::new();
    loop {
        let requests = table.select_links(now);
        if requests.is_empty() {
            break;
        }
        for request in requests {
            match request.address.port() {
                1..61 => reselected.push(request),
                _ => table.record_link_failure(request),
            }
        }
    }
    assert!(!reselected.is_empty());
    open_links(&mut table, &reselected, 1, now);
    for request in reselected {
        let index = opened
            .iter()
            .position(|number| *number == request.address.port());
        let index = index.expect("the node was among the first selected nodes");
        let first_request = first_requests
            .iter()
            .find(|first| first.address == request.address)
            .unwrap();
        assert!(
            !table.is_wanted(*first_request) && table.forget(*first_request, now),
            "the first request is still valid"
        );
        assert!(!table.forget(request, now));
        let old_link = old_links[index].as_ref().unwrap();
        table.record_link_closed(request.address, old_link);
        let port = request.address.port();
        assert!(
            link_to(&table, port).is_some(),
            "closing the old link removed the new one"
        );
    }
}

/// Guards against an entry without executors after a read of the registry that replaces most of its
/// selection, as when all nodes of a large fleet have just been restarted.
#[tokio::test(start_paused = true)]
async fn keeps_links_until_others_are_open_in_their_place() {
    let now = Instant::now();
    let mut table = PeerTable::new(record(0, 1));
    learn(&mut table, 1..101, 1, now);
    select_and_open_links(&mut table, 1, now);
    assert_eq!(table.links().count(), MAX_LINKS);

    learn(&mut table, 101..1001, 1, now);
    let requests = table.select_links(now);
    assert!(
        requests.len() > MAX_LINKS / 2,
        "only {} links of the selection change",
        requests.len()
    );
    assert_eq!(table.links().count(), MAX_LINKS);
    for request in &requests {
        open_links(&mut table, std::slice::from_ref(request), 1, now);
        assert_eq!(table.select_links(now), []);
        assert_eq!(table.links().count(), MAX_LINKS);
    }
    assert!(
        requests
            .iter()
            .all(|request| link_to(&table, request.address.port()).is_some()),
        "a new link was retired in place of an old one"
    );
}
