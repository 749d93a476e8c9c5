//! Routes, placement, outliers, failure rates and isolation.

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
fn longest_path_prefix_of_host_wins() {
    let routes = vec![
        route("all", "h", "/", 2, &[("a", 1)]),
        route("deep", "h", "/x/y/", 2, &[("a", 1)]),
        route("mid", "h", "/x/", 2, &[("a", 1)]),
        route("other", "g", "/x/y/", 2, &[("a", 1)]),
    ];
    let configuration = Configuration::new(1, routes, Vec::new(), HttpLimits::default());
    let route_name = |host, target| {
        configuration
            .route(host, target)
            .map(|route| route.name.to_string())
    };
    assert_eq!(route_name("h", "/x/y/z?q=/x/").as_deref(), Some("deep"));
    assert_eq!(route_name("h", "/x/y").as_deref(), Some("mid"));
    assert_eq!(route_name("H:8080", "/xy").as_deref(), Some("all"));
    assert_eq!(route_name("g", "/x/y/").as_deref(), Some("other"));
    assert_eq!(route_name("g", "/?p=/x/y/"), None);
    assert_eq!(route_name("k", "/"), None);
}

#[test]
fn splits_requests_by_service_weight() {
    let route = route("s", "h", "/", 2, &[("a", 70), ("b", 20), ("c", 10)]);
    let mut counts: HashMap<Arc<str>, u32> = HashMap::new();
    for _ in 0..100 {
        *counts
            .entry(route.split.next_service().unwrap().clone())
            .or_default() += 1;
    }
    assert_eq!((counts["a"], counts["b"], counts["c"]), (70, 20, 10));
    let mut first_twenty: HashMap<Arc<str>, i32> = HashMap::new();
    for _ in 0..20 {
        *first_twenty
            .entry(route.split.next_service().unwrap().clone())
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
        registers_peers: false,
        keeps_notices: false,
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
    assert!(table.record_link_opened(record, link.clone(), now));
    link
}

fn at_port(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn choose_port(table: &mut PeerTable, tried: &[u16]) -> Option<u16> {
    choose_port_for(table, tried, false, Instant::now())
}

fn choose_port_for(
    table: &mut PeerTable,
    tried: &[u16],
    is_idempotent: bool,
    now: Instant,
) -> Option<u16> {
    let tried: Vec<SocketAddr> = tried.iter().copied().map(at_port).collect();
    let query = PlacementQuery {
        service: "ledger",
        local: None,
        tried: &tried,
        is_idempotent,
    };
    match table.choose(&query, now)? {
        Executor::Peer(address, _) => Some(address.port()),
        Executor::Local => None,
    }
}

#[tokio::test]
async fn prefers_own_zone_until_much_busier() {
    use BackendState::Ready;
    let mut idle = table(&[
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
        assert_eq!(choose_port(&mut idle, &[]), Some(2));
        assert_eq!(choose_port(&mut busy, &[]), Some(3));
        assert_eq!(choose_port(&mut full, &[]), Some(3));
        assert_eq!(choose_port(&mut idle, &[2]), Some(3));
        assert_eq!(choose_port(&mut idle, &[2, 3]), None);
    }
}

#[tokio::test]
async fn avoids_leaving_and_stopping_back_ends() {
    use BackendState::{Leaving, Ready, Stopping, Unavailable};
    let idle = load(10, 0);
    let mut unavailable = table(&[(2, "home", Leaving, idle), (3, "home", Unavailable, idle)]);
    assert_eq!(choose_port(&mut unavailable, &[]), None);
    let mut stopping = table(&[
        (2, "home", Stopping, idle),
        (3, "away", Ready, load(10, 10)),
    ]);
    assert_eq!(choose_port(&mut stopping, &[]), Some(3));
    assert_eq!(choose_port(&mut stopping, &[3]), Some(2));
}

#[tokio::test]
async fn avoids_executor_that_loses_calls() {
    use BackendState::Ready;
    let mut table = table(&[
        (2, "home", Ready, load(10, 2)),
        (3, "away", Ready, load(10, 2)),
    ]);
    let lossy_executor = SocketAddr::from(([127, 0, 0, 1], 2));
    for _ in 0..10 {
        table.record_outcome(lossy_executor, true);
    }
    assert_eq!(choose_port(&mut table, &[]), Some(3));
    for _ in 0..40 {
        table.record_outcome(lossy_executor, false);
    }
    assert_eq!(choose_port(&mut table, &[]), Some(2));
}

fn load_failing(share: f64, in_flight: u16) -> Load {
    Load {
        failing: Load::share_to_wire(share),
        ..load(10, in_flight)
    }
}

#[tokio::test]
async fn idle_outlier_attracts_no_calls() {
    use BackendState::Ready;
    let mut table = table(&[
        (2, "home", Ready, load_failing(1.0, 0)),
        (3, "home", Ready, load_failing(0.02, 10)),
        (4, "away", Ready, load_failing(0.0, 10)),
    ]);
    for _ in 0..50 {
        assert_ne!(
            choose_port(&mut table, &[]),
            Some(2),
            "a call that is not idempotent went to the outlier"
        );
    }
    assert_eq!(
        choose_port(&mut table, &[3, 4]),
        Some(2),
        "the outlier was not used as the last resort"
    );
}

#[tokio::test]
async fn probes_outlier_until_it_recovers() {
    use BackendState::Ready;
    let mut table = table(&[
        (2, "home", Ready, load_failing(1.0, 0)),
        (3, "home", Ready, load_failing(0.0, 2)),
    ]);
    let now = Instant::now();
    let probes = |table: &mut PeerTable, at| {
        let probes_sent = (0..100).filter(|_| choose_port_for(table, &[], true, at) == Some(2));
        probes_sent.count()
    };
    assert_eq!(probes(&mut table, now), 1);
    assert_eq!(probes(&mut table, now + Duration::from_millis(100)), 0);
    assert_eq!(probes(&mut table, now + Duration::from_millis(200)), 1);
    let recovered = status(Ready, load_failing(0.1, 0));
    table.record_status(at_port(2), recovered, now);
    assert_eq!(
        probes(&mut table, now),
        100,
        "the recovered executor was not preferred"
    );
}

#[tokio::test]
async fn uniform_failures_cause_no_outlier() {
    use BackendState::Ready;
    let mut table = table(&[
        (2, "home", Ready, load_failing(0.6, 1)),
        (3, "home", Ready, load_failing(0.5, 5)),
        (4, "home", Ready, load_failing(0.7, 5)),
    ]);
    for _ in 0..50 {
        assert_eq!(choose_port(&mut table, &[]), Some(2));
    }
}

#[test]
fn failure_rate_rises_and_falls() {
    let mut failure_rate = FailureRate::default();
    let changes: Vec<_> = (0..20).filter_map(|_| failure_rate.record(true)).collect();
    assert_eq!(
        changes,
        [FailureRateChange::BecameHigh],
        "the change was not reported exactly once"
    );
    assert!(failure_rate.get() > 0.75, "{}", failure_rate.get());
    let changes: Vec<_> = (0..30).filter_map(|_| failure_rate.record(false)).collect();
    assert_eq!(
        changes,
        [FailureRateChange::Recovered],
        "the change was not reported exactly once"
    );
    assert!(failure_rate.get() < 0.1, "{}", failure_rate.get());
    assert_eq!(Load::share_from_wire(Load::share_to_wire(1.0)), 1.0);
}

#[tokio::test]
async fn avoids_much_slower_executor() {
    use BackendState::Ready;
    let load_taking = |service_ms| Load {
        service_ms,
        ..load(10, 1)
    };
    let mut moderate = table(&[
        (2, "home", Ready, load_taking(160)),
        (3, "away", Ready, load_taking(70)),
    ]);
    let mut slow = table(&[
        (2, "home", Ready, load_taking(900)),
        (3, "away", Ready, load_taking(70)),
    ]);
    let mut unknown = table(&[
        (2, "home", Ready, load_taking(900)),
        (3, "away", Ready, load_taking(0)),
    ]);
    for _ in 0..50 {
        assert_eq!(choose_port(&mut moderate, &[]), Some(2));
        assert_eq!(choose_port(&mut slow, &[]), Some(3));
        assert_eq!(choose_port(&mut unknown, &[]), Some(2));
    }
}

#[tokio::test]
async fn reused_address_gets_no_old_calls() {
    let mut table = table(&[(2, "home", BackendState::Ready, load(10, 0))]);
    let link = table.links().next().unwrap().1.clone();
    table.record_link_closed(at_port(2), &link);
    assert_eq!(
        choose_port(&mut table, &[]),
        None,
        "a call was placed without a link"
    );
    let new_record = record(2, "home", "portal");
    let address = new_record.address;
    connect(&mut table, new_record, Instant::now());
    table.record_status(
        address,
        status(BackendState::Ready, load(10, 0)),
        Instant::now(),
    );
    assert_eq!(choose_port(&mut table, &[]), None);
}

#[tokio::test(start_paused = true)]
async fn isolated_until_peers_are_reachable() {
    use BackendState::Ready;
    let now = Instant::now();
    let single_node = PeerTable::new(record(1, "home", "portal"));
    assert!(
        !single_node.is_isolated(),
        "a node without peers counts as isolated"
    );
    let peers: Vec<_> = (2..10)
        .map(|port| (port, "home", Ready, load(10, 0)))
        .collect();
    let mut table = table(&peers);
    assert!(!table.is_isolated());
    for port in (2..10).filter(|port| *port != 8) {
        let link = link_at(&table, port);
        table.record_link_closed(at_port(port), &link);
    }
    assert!(
        !table.is_isolated(),
        "one reachable peer of eight should suffice"
    );
    // A suspect link does not count as reached.
    let unresponsive = link_at(&table, 8);
    unresponsive.check(now, 8);
    for _ in 0..20 {
        tokio::time::advance(Duration::from_millis(100)).await;
        unresponsive.check(Instant::now(), 8);
    }
    assert!(unresponsive.is_suspect());
    assert!(table.is_isolated());
    connect(&mut table, record(2, "home", "ledger"), now);
    assert!(!table.is_isolated());
}

fn link_at(table: &PeerTable, port: u16) -> Arc<Link> {
    let mut links = table.links();
    let matching = links.find(|(address, _)| *address == at_port(port));
    matching.unwrap().1.clone()
}
