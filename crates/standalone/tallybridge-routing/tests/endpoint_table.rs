//! Tests of ejection and of how observed latency and reported limits affect the choice.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::{SeedableRng, rngs::SmallRng};
use tallybridge_core::{InstanceId, LoadReport, NodeId, ServiceName};
use tallybridge_routing::{
    AttemptResult, Endpoint, EndpointState, EndpointStatus, EndpointTable, Locality,
    RoutingSettings,
};

const SEED: u64 = 3;

fn node(number: u8) -> NodeId {
    NodeId {
        address: SocketAddr::from(([127, 0, 0, number], 7000)),
        instance: InstanceId(1),
    }
}

fn service() -> ServiceName {
    "ledger".into()
}

/// Creates a table of the endpoints 1 to `count`, all in the local zone.
fn table(count: u8, now: Instant) -> EndpointTable {
    let local = Locality {
        region: "region".into(),
        zone: "zone".into(),
    };
    let mut table = EndpointTable::new(local.clone(), RoutingSettings::default());
    let endpoints = (1..=count).map(|number| Endpoint {
        node: node(number),
        service: service(),
        region: local.region.clone(),
        zone: local.zone.clone(),
    });
    table.set_endpoints(endpoints, now);
    table
}

/// Fails every attempt at the endpoint that is not excluded, until it is ejected or `limit`
/// attempts have failed. Returns the number of failures, or `limit + 1` without an ejection.
fn fail_until_ejected(
    table: &mut EndpointTable,
    excluded: &[NodeId],
    limit: u32,
    now: Instant,
) -> u32 {
    let mut rng = SmallRng::seed_from_u64(SEED);
    for failures in 1..=limit {
        let chosen = table.choose(&service(), excluded, now, &mut rng);
        let chosen = chosen.expect("one endpoint is not excluded");
        table.finish(chosen, AttemptResult::Failed, now);
        let is_ejected = |row: &EndpointStatus| {
            row.endpoint.node == chosen && row.state == EndpointState::Ejected
        };
        if table.snapshot().iter().any(is_ejected) {
            return failures;
        }
    }
    limit + 1
}

#[test]
fn consecutive_failures_eject_endpoint() {
    let now = Instant::now();
    let mut table = table(3, now);
    let failures = fail_until_ejected(&mut table, &[node(2), node(3)], 20, now);
    assert_eq!(failures, RoutingSettings::default().consecutive_failures);
}

#[test]
fn chooses_ejected_endpoint_if_others_are_excluded() {
    let now = Instant::now();
    let mut table = table(3, now);
    let others = [node(2), node(3)];
    assert!(fail_until_ejected(&mut table, &others, 20, now) <= 20);
    let mut rng = SmallRng::seed_from_u64(SEED);
    let chosen = table.choose(&service(), &others, now, &mut rng);
    assert_eq!(chosen, Ok(node(1)));
}

#[test]
fn ejected_endpoint_gets_nothing_then_one_probe() {
    let now = Instant::now();
    let mut table = table(3, now);
    assert!(fail_until_ejected(&mut table, &[node(2), node(3)], 20, now) <= 20);
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut count_choices_of_first = |table: &mut EndpointTable, now: Instant| {
        (0..60)
            .filter(|_| table.choose(&service(), &[], now, &mut rng) == Ok(node(1)))
            .count()
    };
    assert_eq!(count_choices_of_first(&mut table, now), 0);
    let ejection_end = now + RoutingSettings::default().ejection_time + Duration::from_millis(1);
    table.tick(ejection_end);
    assert_eq!(count_choices_of_first(&mut table, ejection_end), 1);
}

const TYPICAL_LATENCY: Duration = Duration::from_millis(20);
const TYPICAL_REPORT: LoadReport = LoadReport {
    in_flight: 8,
    limit: 20,
    queued: 0,
    admitted_from: None,
    leaving: false,
};

/// Makes calls one after the other, each answered after the latency of its endpoint, and counts
/// those that went to endpoint 1.
fn count_calls_to_first(
    table: &mut EndpointTable,
    calls: u32,
    first: (Duration, LoadReport),
    now: &mut Instant,
) -> u32 {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut count = 0;
    for _ in 0..calls {
        let chosen = table
            .choose(&service(), &[], *now, &mut rng)
            .expect("an endpoint takes new work");
        let is_first = chosen == node(1);
        count += u32::from(is_first);
        let (latency, load) = if is_first {
            first
        } else {
            (TYPICAL_LATENCY, TYPICAL_REPORT)
        };
        *now += latency;
        table.finish(chosen, AttemptResult::Answered { latency, load }, *now);
        table.tick(*now);
    }
    count
}

#[test]
fn slow_endpoint_gets_fewer_calls_before_ejection() {
    let mut now = Instant::now();
    let mut table = table(3, now);
    let slow_latency = TYPICAL_LATENCY * 6;
    count_calls_to_first(&mut table, 100, (slow_latency, TYPICAL_REPORT), &mut now);
    let count = count_calls_to_first(&mut table, 300, (slow_latency, TYPICAL_REPORT), &mut now);
    assert!(count < 30, "the slow endpoint got {count} of 300 calls");
}

#[test]
fn caps_influence_of_reported_limit() {
    let mut now = Instant::now();
    let mut table = table(2, now);
    let inflated = LoadReport {
        in_flight: 0,
        limit: u16::MAX,
        ..TYPICAL_REPORT
    };
    count_calls_to_first(&mut table, 100, (TYPICAL_LATENCY, inflated), &mut now);
    let mut rng = SmallRng::seed_from_u64(SEED);
    let calls_to_second = (0..120)
        .filter(|_| table.choose(&service(), &[], now, &mut rng) == Ok(node(2)))
        .count();
    assert!(
        calls_to_second >= 10,
        "the other endpoint got only {calls_to_second} of 120 calls"
    );
}

/// Returns the states after an attempt at each of the first `stalled` of three endpoints is
/// overdue.
fn states_after_stall(stalled: u8) -> Vec<EndpointState> {
    let mut now = Instant::now();
    let mut table = table(3, now);
    count_calls_to_first(&mut table, 100, (TYPICAL_LATENCY, TYPICAL_REPORT), &mut now);
    let mut rng = SmallRng::seed_from_u64(SEED);
    for number in 1..=stalled {
        let others: Vec<NodeId> = (1..=3).filter(|n| *n != number).map(node).collect();
        let chosen = table.choose(&service(), &others, now, &mut rng);
        assert_eq!(chosen, Ok(node(number)));
    }
    table.tick(now + TYPICAL_LATENCY * 9);
    table.snapshot().iter().map(|row| row.state).collect()
}

#[test]
fn ejects_stalled_endpoints_unless_most_stall() {
    use EndpointState::{Ejected, Probing, Ramping};
    assert_eq!(states_after_stall(1), [Ejected, Ramping, Ramping]);
    assert_eq!(states_after_stall(3), [Probing, Probing, Probing]);
}
