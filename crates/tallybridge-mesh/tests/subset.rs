//! Which nodes a node links to in a large fleet.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use tallybridge_mesh::{
    link::Link,
    protocol::NodeRecord,
    tables::{LinkRequest, PeerTable},
};
use tokio::{sync::mpsc, time::Instant};

const ZONES: [&str; 4] = ["a", "b", "c", "d"];
/// Executors of one service that a node links to where there are few services.
const MOST: usize = 32;

/// The node of a number; its zone and service follow from it.
fn record(number: u16, services: u16) -> NodeRecord {
    NodeRecord {
        node: format!("node-{number}"),
        address: SocketAddr::from(([127, 0, 0, 1], number)),
        zone: ZONES[usize::from(number / services) % ZONES.len()].to_owned(),
        service: format!("service-{}", number % services),
        process: 1,
        slots: 0,
    }
}

fn learn(table: &mut PeerTable, numbers: std::ops::Range<u16>, services: u16, now: Instant) {
    for number in numbers {
        table.learn(record(number, services), now);
    }
}

/// Opens the links that are ordered, and gives the addresses.
fn open(table: &mut PeerTable, orders: &[LinkRequest], services: u16, now: Instant) -> Vec<u16> {
    let mut opened: Vec<u16> = orders.iter().map(|order| order.address.port()).collect();
    opened.sort_unstable();
    for number in &opened {
        let link = Arc::new(Link::new("peer", mpsc::unbounded_channel().0));
        assert!(table.connected(record(*number, services), link, now));
    }
    opened
}

fn link_to(table: &PeerTable, number: u16) -> Option<Arc<Link>> {
    let mut links = table.links();
    let found = links.find(|(address, _)| address.port() == number);
    found.map(|(_, link)| link.clone())
}

#[tokio::test]
async fn a_node_links_to_all_executors_of_a_service_while_they_are_few() {
    let now = Instant::now();
    let mut table = PeerTable::new(record(0, 4));
    learn(&mut table, 0..104, 4, now);
    let opened = open_all(&mut table, 4, now);
    assert_eq!(opened, (1..104).collect::<Vec<_>>());
    assert_eq!(table.select_links(now), [], "ordered once");
}

fn open_all(table: &mut PeerTable, services: u16, now: Instant) -> Vec<u16> {
    let orders = table.select_links(now);
    open(table, &orders, services, now)
}

#[tokio::test]
async fn of_a_large_service_a_node_links_to_some_most_of_them_in_its_own_zone() {
    let now = Instant::now();
    let mut table = PeerTable::new(record(0, 4));
    learn(&mut table, 1..1001, 4, now);
    let opened = open_all(&mut table, 4, now);
    let mut by_service: HashMap<String, (usize, usize)> = HashMap::new();
    for number in opened {
        let record = record(number, 4);
        let (home, away) = by_service.entry(record.service).or_default();
        *(if record.zone == "a" { home } else { away }) += 1;
    }
    assert_eq!(by_service.len(), 4);
    assert!(
        by_service.values().all(|counts| *counts == (20, 12)),
        "{by_service:?}"
    );
    assert_eq!(table.subset_size(), 4 * MOST + 1);
    assert_eq!(table.known_size(), 1001);
}

#[tokio::test]
async fn a_zone_without_executors_is_made_up_for_by_the_others() {
    let now = Instant::now();
    let mut table = PeerTable::new(NodeRecord {
        zone: "empty".to_owned(),
        ..record(0, 1)
    });
    learn(&mut table, 1..201, 1, now);
    assert_eq!(open_all(&mut table, 1, now).len(), MOST);
}

#[tokio::test]
async fn more_services_mean_fewer_links_to_each() {
    let now = Instant::now();
    let mut table = PeerTable::new(record(0, 54));
    learn(&mut table, 1..920, 54, now);
    let opened = open_all(&mut table, 54, now);
    assert!(opened.len() <= 54 * 8, "{}", opened.len());
    let of_one = opened.iter().filter(|number| *number % 54 == 7).count();
    assert_eq!(of_one, 8);
}

#[tokio::test]
async fn every_executor_is_linked_to_about_equally_often() {
    let now = Instant::now();
    let mut links: HashMap<u16, u32> = HashMap::new();
    for own in 0..300 {
        let mut table = PeerTable::new(record(own, 3));
        learn(&mut table, 0..300, 3, now);
        for order in table.select_links(now) {
            *links.entry(order.address.port()).or_default() += 1;
        }
    }
    let (least, most) = (links.values().min().unwrap(), links.values().max().unwrap());
    assert_eq!(links.len(), 300);
    // 96 in the mean, with a deviation of some 8.
    assert!(
        (60..=135).contains(least) && (60..=135).contains(most),
        "{least} to {most}"
    );
}

#[tokio::test(start_paused = true)]
async fn a_node_that_is_out_of_contact_is_replaced_until_it_is_back() {
    let start = Instant::now();
    let mut table = PeerTable::new(record(0, 1));
    learn(&mut table, 1..101, 1, start);
    let opened = open_all(&mut table, 1, start);
    let lost = opened[0];
    let link = link_to(&table, lost).unwrap();
    table.disconnected(record(lost, 1).address, &link);
    assert_eq!(
        table.select_links(start),
        [],
        "a restart takes less than that"
    );
    let later = start + Duration::from_secs(3);
    let replaced = open_all(&mut table, 1, later);
    assert_eq!(replaced.len(), 1, "one takes its place");
    assert_eq!(table.links().count(), MOST);
    assert_eq!(table.select_links(later), []);

    let link = Arc::new(Link::new("peer", mpsc::unbounded_channel().0));
    assert!(
        table.connected(record(lost, 1), link, later),
        "it is still wanted"
    );
    assert_eq!(table.select_links(later), []);
    assert_eq!(table.links().count(), MOST);
    assert!(link_to(&table, lost).is_some());
    assert!(
        link_to(&table, replaced[0]).is_none(),
        "the substitute gives way"
    );
}

#[tokio::test(start_paused = true)]
async fn a_node_that_cannot_be_reached_is_replaced_at_once_and_one_that_restarts_is_waited_for() {
    let now = Instant::now();
    let mut table = PeerTable::new(record(0, 1));
    learn(&mut table, 1..101, 1, now);
    let orders = table.select_links(now);
    open(&mut table, &orders[1..], 1, now);
    table.unreachable(orders[0]);
    let replaced = table.select_links(now);
    assert_eq!(replaced.len(), 1);

    let restarting = orders[1];
    let link = link_to(&table, restarting.address.port()).unwrap();
    table.disconnected(restarting.address, &link);
    table.unreachable(restarting);
    assert_eq!(table.select_links(now), []);
}

#[tokio::test]
async fn a_better_ranked_node_takes_the_place_of_another_whose_link_retires() {
    let now = Instant::now();
    let mut table = PeerTable::new(record(0, 1));
    learn(&mut table, 1..61, 1, now);
    let mut first = open_all(&mut table, 1, now);
    learn(&mut table, 61..401, 1, now);
    let second = open_all(&mut table, 1, now);
    assert!(
        !second.is_empty(),
        "some of the new ones rank before some of the old"
    );
    assert_eq!(table.links().count(), MOST);
    assert_eq!(table.known_size(), 401, "those that gave way stay known");
    // The order of learning does not matter.
    let mut at_once = PeerTable::new(record(0, 1));
    learn(&mut at_once, 1..401, 1, now);
    let mut chosen = open_all(&mut at_once, 1, now);
    let mut linked: Vec<u16> = table.links().map(|(address, _)| address.port()).collect();
    linked.sort_unstable();
    chosen.sort_unstable();
    first.retain(|number| chosen.contains(number));
    assert_eq!(linked, chosen);
}

#[tokio::test(start_paused = true)]
async fn a_link_that_was_ordered_before_its_node_gave_way_is_not_opened_again() {
    let now = Instant::now();
    let mut table = PeerTable::new(record(0, 1));
    learn(&mut table, 1..61, 1, now);
    let before = table.select_links(now);
    learn(&mut table, 61..1001, 1, now);
    let _ = table.select_links(now);
    let unwanted: Vec<_> = before
        .iter()
        .filter(|order| !table.is_wanted(**order))
        .collect();
    assert!(!unwanted.is_empty());
    for order in unwanted {
        assert!(table.forget(*order, now));
        let link = Arc::new(Link::new("peer", mpsc::unbounded_channel().0));
        let record = record(order.address.port(), 1);
        assert!(!table.connected(record, link, now), "its link is not taken");
    }
}

#[tokio::test(start_paused = true)]
async fn a_forgotten_node_makes_room_for_a_spare_one_and_old_spares_go() {
    let start = Instant::now();
    let mut table = PeerTable::new(record(0, 1));
    learn(&mut table, 1..41, 1, start);
    let orders = table.select_links(start);
    assert_eq!(orders.len(), MOST);
    // No link ever comes up: all are replaced as far as spares go, and forgotten after a minute.
    let later = start + Duration::from_secs(4);
    assert_eq!(table.select_links(later).len(), 8);
    let much_later = start + Duration::from_secs(61);
    assert!(orders.iter().all(|order| table.forget(*order, much_later)));
    assert_eq!(table.known_size(), 9);

    let mut table = PeerTable::new(record(0, 1));
    learn(&mut table, 1..41, 1, start);
    let _ = table.select_links(start);
    table.forget_unlinked(start + Duration::from_secs(299));
    assert_eq!(table.known_size(), 41);
    table.forget_unlinked(start + Duration::from_secs(300));
    assert_eq!(table.known_size(), MOST + 1);
}

#[tokio::test(start_paused = true)]
async fn a_node_that_is_chosen_again_has_a_link_of_its_own() {
    let now = Instant::now();
    let mut table = PeerTable::new(record(0, 1));
    learn(&mut table, 1..61, 1, now);
    let before = table.select_links(now);
    let opened = open(&mut table, &before, 1, now);
    let old_links: Vec<_> = opened
        .iter()
        .map(|number| link_to(&table, *number))
        .collect();
    // Better ones come, cannot be reached, and so give way again.
    learn(&mut table, 61..1001, 1, now);
    let mut again = Vec::new();
    loop {
        let orders = table.select_links(now);
        if orders.is_empty() {
            break;
        }
        for order in orders {
            match order.address.port() {
                1..61 => again.push(order),
                _ => table.unreachable(order),
            }
        }
    }
    assert!(!again.is_empty());
    open(&mut table, &again, 1, now);
    for order in again {
        let index = opened
            .iter()
            .position(|number| *number == order.address.port());
        let index = index.expect("one of the first");
        let old = before
            .iter()
            .find(|old| old.address == order.address)
            .unwrap();
        assert!(
            !table.is_wanted(*old) && table.forget(*old, now),
            "its task ends"
        );
        assert!(!table.forget(order, now));
        let old_link = old_links[index].as_ref().unwrap();
        table.disconnected(order.address, old_link);
        let port = order.address.port();
        assert!(
            link_to(&table, port).is_some(),
            "the end of the old link harms nothing"
        );
    }
}
