//! Routes, executors and budgets, each by its table.

mod support;

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use tallybridge_mesh::{
    Configuration,
    http::HttpLimits,
    link::Link,
    protocol::{BackendState, Load, NodeRecord, PeerStatus},
    tables::{Executor, FailureRate, FailureRateChange, PeerTable, PlacementQuery},
};
use tokio::{sync::mpsc, time::Instant};

use self::support::route;

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let routes = vec![
        route("all", "h", "/", 2, &[("a", 1)]),
        route("deep", "h", "/x/y/", 2, &[("a", 1)]),
        route("mid", "h", "/x/", 2, &[("a", 1)]),
        route("other", "g", "/x/y/", 2, &[("a", 1)]),
    ];
    let configuration = Configuration::new(1, routes, Vec::new(), HttpLimits::default());
    let found = |host, target| {
        configuration
            .route(host, target)
            .map(|route| route.name.to_string())
    };
    assert_eq!(found("h", "/x/y/z?q=/x/").as_deref(), Some("deep"));
    assert_eq!(found("h", "/x/y").as_deref(), Some("mid"));
    assert_eq!(found("H:8080", "/xy").as_deref(), Some("all"));
    assert_eq!(found("g", "/x/y/").as_deref(), Some("other"));
    assert_eq!(found("g", "/?p=/x/y/"), None);
    assert_eq!(found("k", "/"), None);
}

#[test]
fn parts_get_their_weight_in_every_run_of_requests() {
    let route = route("s", "h", "/", 2, &[("a", 70), ("b", 20), ("c", 10)]);
    let mut counts: HashMap<Arc<str>, u32> = HashMap::new();
    for _ in 0..100 {
        *counts
            .entry(route.next_service().unwrap().clone())
            .or_default() += 1;
    }
    assert_eq!((counts["a"], counts["b"], counts["c"]), (70, 20, 10));
    let mut first_twenty: HashMap<Arc<str>, i32> = HashMap::new();
    for _ in 0..20 {
        *first_twenty
            .entry(route.next_service().unwrap().clone())
            .or_default() += 1;
    }
    assert!((first_twenty["a"] - 14).abs() <= 2, "{first_twenty:?}");
}

fn record(port: u16, zone: &str, service: &str) -> NodeRecord {
    NodeRecord {
        node: format!("n{port}"),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        zone: zone.to_owned(),
        service: service.to_owned(),
        process: 1,
        slots: 0,
    }
}

fn load(limit: u16, in_flight: u16) -> Load {
    Load {
        limit,
        in_flight,
        ..Load::default()
    }
}

fn status(backend: BackendState, load: Load) -> PeerStatus {
    PeerStatus {
        backend,
        load,
        slots: 10,
        version: 1,
        called_services: Vec::new(),
    }
}

fn table(peers: &[(u16, &str, BackendState, Load)]) -> PeerTable {
    let now = Instant::now();
    let mut table = PeerTable::new(record(1, "home", "portal"));
    for (port, zone, backend, load) in peers {
        let record = record(*port, zone, "ledger");
        let address = record.address;
        connect(&mut table, record, now);
        table.record_status(address, status(*backend, *load), now);
    }
    table
}

fn connect(table: &mut PeerTable, record: NodeRecord, now: Instant) -> Arc<Link> {
    let link = Arc::new(Link::new("peer", mpsc::unbounded_channel().0));
    table.learn(record.clone(), now);
    let _ = table.select_links(now);
    assert!(table.connected(record, link.clone(), now));
    link
}

fn at_port(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn chosen(table: &mut PeerTable, tried: &[u16]) -> Option<u16> {
    chosen_for(table, tried, false, Instant::now())
}

fn chosen_for(
    table: &mut PeerTable,
    tried: &[u16],
    is_idempotent: bool,
    now: Instant,
) -> Option<u16> {
    let tried: Vec<SocketAddr> = tried.iter().copied().map(at_port).collect();
    let choice = PlacementQuery {
        service: "ledger",
        local: None,
        tried: &tried,
        is_idempotent,
    };
    match table.choose(&choice, now)? {
        Executor::Peer(address, _) => Some(address.port()),
        Executor::Local => None,
    }
}

#[tokio::test]
async fn a_call_stays_at_home_until_home_is_much_busier() {
    use BackendState::Ready;
    let mut quiet = table(&[
        (2, "home", Ready, load(10, 2)),
        (3, "away", Ready, load(10, 0)),
    ]);
    let mut busy = table(&[
        (2, "home", Ready, load(10, 8)),
        (3, "away", Ready, load(10, 2)),
    ]);
    let mut full = table(&[
        (2, "home", Ready, load(10, 10)),
        (3, "away", Ready, load(10, 8)),
    ]);
    for _ in 0..50 {
        assert_eq!(chosen(&mut quiet, &[]), Some(2));
        assert_eq!(chosen(&mut busy, &[]), Some(3));
        assert_eq!(chosen(&mut full, &[]), Some(3));
        assert_eq!(chosen(&mut quiet, &[2]), Some(3));
        assert_eq!(chosen(&mut quiet, &[2, 3]), None);
    }
}

#[tokio::test]
async fn leavers_get_nothing_and_those_that_stop_only_what_nobody_else_takes() {
    use BackendState::{Leaving, Ready, Stopping, Unavailable};
    let idle = load(10, 0);
    let mut gone = table(&[(2, "home", Leaving, idle), (3, "home", Unavailable, idle)]);
    assert_eq!(chosen(&mut gone, &[]), None);
    let mut stopping = table(&[
        (2, "home", Stopping, idle),
        (3, "away", Ready, load(10, 10)),
    ]);
    assert_eq!(chosen(&mut stopping, &[]), Some(3));
    assert_eq!(chosen(&mut stopping, &[3]), Some(2));
}

#[tokio::test]
async fn an_executor_that_loses_calls_is_passed_over_until_it_answers_again() {
    use BackendState::Ready;
    let mut table = table(&[
        (2, "home", Ready, load(10, 2)),
        (3, "away", Ready, load(10, 2)),
    ]);
    let loser = SocketAddr::from(([127, 0, 0, 1], 2));
    for _ in 0..10 {
        table.record_outcome(loser, true);
    }
    assert_eq!(chosen(&mut table, &[]), Some(3));
    for _ in 0..40 {
        table.record_outcome(loser, false);
    }
    assert_eq!(chosen(&mut table, &[]), Some(2));
}

fn failing(share: f64, in_flight: u16) -> Load {
    Load {
        failing: Load::share_to_wire(share),
        ..load(10, in_flight)
    }
}

#[tokio::test]
async fn a_back_end_that_fails_at_once_draws_no_calls_although_it_looks_idle() {
    use BackendState::Ready;
    let mut table = table(&[
        (2, "home", Ready, failing(1.0, 0)),
        (3, "home", Ready, failing(0.02, 10)),
        (4, "away", Ready, failing(0.0, 10)),
    ]);
    for _ in 0..50 {
        assert_ne!(chosen(&mut table, &[]), Some(2), "a payment");
    }
    assert_eq!(chosen(&mut table, &[3, 4]), Some(2), "better than none");
}

#[tokio::test]
async fn one_call_now_and_then_finds_out_whether_an_outlier_has_recovered() {
    use BackendState::Ready;
    let mut table = table(&[
        (2, "home", Ready, failing(1.0, 0)),
        (3, "home", Ready, failing(0.0, 2)),
    ]);
    let now = Instant::now();
    let probes = |table: &mut PeerTable, at| {
        let chosen = (0..100).filter(|_| chosen_for(table, &[], true, at) == Some(2));
        chosen.count()
    };
    assert_eq!(probes(&mut table, now), 1);
    assert_eq!(probes(&mut table, now + Duration::from_millis(100)), 0);
    assert_eq!(probes(&mut table, now + Duration::from_millis(200)), 1);
    let recovered = status(Ready, failing(0.1, 0));
    table.record_status(at_port(2), recovered, now);
    assert_eq!(probes(&mut table, now), 100, "it is used as before");
}

#[tokio::test]
async fn what_fails_everywhere_alike_makes_nobody_an_outlier() {
    use BackendState::Ready;
    let mut table = table(&[
        (2, "home", Ready, failing(0.6, 1)),
        (3, "home", Ready, failing(0.5, 5)),
        (4, "home", Ready, failing(0.7, 5)),
    ]);
    for _ in 0..50 {
        assert_eq!(chosen(&mut table, &[]), Some(2));
    }
}

#[test]
fn the_share_of_failing_calls_follows_them_both_ways() {
    let mut share = FailureRate::default();
    let told: Vec<_> = (0..20).filter_map(|_| share.ended(true)).collect();
    assert_eq!(told, [FailureRateChange::Began], "told once");
    assert!(share.get() > 0.75, "{}", share.get());
    let told: Vec<_> = (0..30).filter_map(|_| share.ended(false)).collect();
    assert_eq!(told, [FailureRateChange::Ended], "told once");
    assert!(share.get() < 0.1, "{}", share.get());
    assert_eq!(Load::share_from_wire(Load::share_to_wire(1.0)), 1.0);
}

#[tokio::test]
async fn an_executor_that_is_much_slower_than_another_is_passed_over() {
    use BackendState::Ready;
    let at = |service_ms| Load {
        service_ms,
        ..load(10, 1)
    };
    let mut usual = table(&[(2, "home", Ready, at(160)), (3, "away", Ready, at(70))]);
    let mut slow = table(&[(2, "home", Ready, at(900)), (3, "away", Ready, at(70))]);
    let mut unknown = table(&[(2, "home", Ready, at(900)), (3, "away", Ready, at(0))]);
    for _ in 0..50 {
        assert_eq!(chosen(&mut usual, &[]), Some(2));
        assert_eq!(chosen(&mut slow, &[]), Some(3));
        assert_eq!(chosen(&mut unknown, &[]), Some(2));
    }
}

#[tokio::test]
async fn an_address_that_another_service_took_gets_no_call_of_the_old_one() {
    let mut table = table(&[(2, "home", BackendState::Ready, load(10, 0))]);
    let link = table.links().next().unwrap().1.clone();
    table.disconnected(at_port(2), &link);
    assert_eq!(
        chosen(&mut table, &[]),
        None,
        "nothing is sent without a link"
    );
    let taken = record(2, "home", "portal");
    let address = taken.address;
    connect(&mut table, taken, Instant::now());
    table.record_status(
        address,
        status(BackendState::Ready, load(10, 0)),
        Instant::now(),
    );
    assert_eq!(chosen(&mut table, &[]), None);
}

#[tokio::test(start_paused = true)]
async fn a_node_that_reaches_few_of_its_peers_is_isolated_until_it_reaches_them_again() {
    use BackendState::Ready;
    let now = Instant::now();
    let alone = PeerTable::new(record(1, "home", "portal"));
    assert!(!alone.is_isolated(), "a fleet of one has lost nobody");
    let peers: Vec<_> = (2..10)
        .map(|port| (port, "home", Ready, load(10, 0)))
        .collect();
    let mut table = table(&peers);
    assert!(!table.is_isolated());
    for port in (2..10).filter(|port| *port != 8) {
        let link = link_at(&table, port);
        table.disconnected(at_port(port), &link);
    }
    assert!(!table.is_isolated(), "one of eight is reached");
    // A link that is suspect counts as none.
    let silent = link_at(&table, 8);
    silent.check(now, 8);
    for _ in 0..20 {
        tokio::time::advance(Duration::from_millis(100)).await;
        silent.check(Instant::now(), 8);
    }
    assert!(silent.is_suspect());
    assert!(table.is_isolated());
    connect(&mut table, record(2, "home", "ledger"), now);
    assert!(!table.is_isolated());
}

fn link_at(table: &PeerTable, port: u16) -> Arc<Link> {
    let mut links = table.links();
    let found = links.find(|(address, _)| *address == at_port(port));
    found.unwrap().1.clone()
}
