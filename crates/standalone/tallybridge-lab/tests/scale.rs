//! The scale measure: fitted lines, counted bytes, and a small fleet of hollow nodes.

use std::time::Duration;

use tallybridge_lab::scale::{
    CountingNetwork, Fleet, FleetOptions, Point, Spread, fit_line, fit_log_linear,
};
use tallybridge_node::connections::peer::network::Network;

/// Longer than anything that is waited for takes, unless it never happens.
const LIMIT: Duration = Duration::from_secs(120);

fn points(figure: impl Fn(f64) -> f64) -> Vec<Point> {
    let sizes = [50.0, 100.0, 200.0, 400.0, 920.0];
    let point = |size| Point {
        size,
        figure: figure(size),
    };
    sizes.map(point).to_vec()
}

fn assert_close(one: f64, other: f64) {
    assert!((one - other).abs() < 1e-6, "{one} and {other}");
}

#[test]
fn a_line_is_found_again() {
    let fit = fit_line(&points(|size| 7.0 + 0.25 * size)).expect("five sizes");
    assert_close(fit.base, 7.0);
    assert_close(fit.slope, 0.25);
    assert_close(fit.r_squared, 1.0);
}

#[test]
fn n_log_n_is_told_from_a_line() {
    let curve = points(|size| 3.0 + 0.5 * size * size.log2());
    let fit = fit_log_linear(&curve).expect("five sizes");
    assert_close(fit.base, 3.0);
    assert_close(fit.slope, 0.5);
    assert_close(fit.r_squared, 1.0);
    let line = fit_line(&curve).expect("five sizes");
    assert!(line.r_squared < fit.r_squared);
}

#[test]
fn one_size_has_no_slope() {
    let one = points(|size| size)[..1].to_vec();
    assert_eq!(fit_line(&one), None);
    assert_eq!(fit_line(&[one[0], one[0]]), None);
}

#[test]
fn a_spread_with_nodes_that_never_knew_has_no_maximum() {
    let all = Spread::of(vec![3.0, 1.0, 2.0], 0);
    assert_eq!((all.p50, all.max), (Some(2.0), Some(3.0)));
    let some = Spread::of(vec![3.0, 1.0, 2.0], 1);
    assert_eq!((some.p50, some.max), (Some(3.0), None));
    let few = Spread::of(vec![1.0], 3);
    assert_eq!((few.p50, few.max), (None, None));
}

#[tokio::test]
async fn datagrams_are_counted_with_their_headers() {
    const PAYLOAD: &[u8] = b"twelve bytes";
    let network = CountingNetwork::bind().await.expect("a free port");
    let traffic = network.traffic();
    let address = network.address();
    let socket = network.bind_datagrams(address).await.expect("once");
    assert!(network.bind_datagrams(address).await.is_err());
    socket.send_to(PAYLOAD, address).await.expect("sends");
    let mut buffer = [0; 64];
    let (length, from) = socket.receive_from(&mut buffer).await.expect("arrives");
    assert_eq!((&buffer[..length], from), (PAYLOAD, address));
    assert_eq!(traffic.sent().datagrams, 1);
    assert_eq!(traffic.sent().datagram_bytes, 40);
    assert_eq!(traffic.sent().stream_bytes, 0);
}

#[tokio::test]
async fn a_small_fleet_meets_takes_a_revision_over_and_learns_of_a_leave_and_a_death() {
    let options = FleetOptions::of_size(5);
    let mut fleet = Fleet::start(&options).await.expect("starts");
    assert!(fleet.meet(LIMIT).await.is_some());
    // A node that learns of another before it has a partition map has fetched one by now, so only
    // what is sent after the change tells of the revision.
    let before = fleet.sent();
    fleet.change(0).await;
    assert!(fleet.time_revision(LIMIT).await.max.is_some());
    let sent = fleet.sent();
    assert!(sent.iter().all(|node| node.datagrams > 0));
    // The four nodes that did not make the revision have fetched it; its author has asked nobody.
    assert_eq!(sent[0].streams, before[0].streams);
    let pairs = before[1..].iter().zip(&sent[1..]);
    let fetched = pairs.filter(|(before, after)| after.stream_writes > before.stream_writes);
    assert_eq!(fetched.count(), 4);
    assert!(fleet.time_leave(4, LIMIT).await.max.is_some());
    assert!(fleet.time_death(3, LIMIT).await.max.is_some());
    assert_eq!(fleet.sent().len(), 4);
    assert_eq!(fleet.wrongly_dead().await, 0);
}
