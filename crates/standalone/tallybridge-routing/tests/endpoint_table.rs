//! Ejection and what is left to choose then; what observed latency and reported limits weigh.

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

/// A table of endpoints 1 up to `count`, all in the local zone.
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

/// Lets every attempt at the endpoint fail until it is ejected or `limit` have failed.
fn fail(table: &mut EndpointTable, others: &[NodeId], limit: u32, now: Instant) -> u32 {
    let mut rng = SmallRng::seed_from_u64(SEED);
    for failures in 1..=limit {
        let chosen = table.choose(&service(), others, now, &mut rng);
        let chosen = chosen.expect("one is not excluded");
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
fn failures_in_a_row_eject_an_endpoint() {
    let now = Instant::now();
    let mut table = table(3, now);
    let failures = fail(&mut table, &[node(2), node(3)], 20, now);
    assert_eq!(failures, RoutingSettings::default().consecutive_failures);
}

#[test]
fn an_ejected_endpoint_is_chosen_when_all_others_are_excluded() {
    let now = Instant::now();
    let mut table = table(3, now);
    let others = [node(2), node(3)];
    assert!(fail(&mut table, &others, 20, now) <= 20);
    let mut rng = SmallRng::seed_from_u64(SEED);
    let chosen = table.choose(&service(), &others, now, &mut rng);
    assert_eq!(chosen, Ok(node(1)));
}

#[test]
fn an_ejected_endpoint_gets_nothing_until_its_time_and_then_one_probe() {
    let now = Instant::now();
    let mut table = table(3, now);
    assert!(fail(&mut table, &[node(2), node(3)], 20, now) <= 20);
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut chosen_among = |table: &mut EndpointTable, now: Instant| {
        (0..60)
            .filter(|_| table.choose(&service(), &[], now, &mut rng) == Ok(node(1)))
            .count()
    };
    assert_eq!(chosen_among(&mut table, now), 0);
    let probing = now + RoutingSettings::default().ejection_time + Duration::from_millis(1);
    table.tick(probing);
    assert_eq!(chosen_among(&mut table, probing), 1);
}

const TYPICAL: Duration = Duration::from_millis(20);
const REPORT: LoadReport = LoadReport {
    in_flight: 8,
    limit: 20,
    queued: 0,
    admitted_from: None,
    leaving: false,
};

/// Makes one call after the other, each answered after the latency of its endpoint, and counts
/// those that fell on endpoint 1.
fn calls_to_first(
    table: &mut EndpointTable,
    calls: u32,
    first: (Duration, LoadReport),
    now: &mut Instant,
) -> u32 {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut count = 0;
    for _ in 0..calls {
        let chosen = table.choose(&service(), &[], *now, &mut rng).expect("open");
        let is_first = chosen == node(1);
        count += u32::from(is_first);
        let (latency, load) = if is_first { first } else { (TYPICAL, REPORT) };
        *now += latency;
        table.finish(chosen, AttemptResult::Answered { latency, load }, *now);
        table.tick(*now);
    }
    count
}

#[test]
fn an_endpoint_slower_than_the_others_gets_less_before_it_is_overdue() {
    let mut now = Instant::now();
    let mut table = table(3, now);
    let slow = TYPICAL * 6;
    calls_to_first(&mut table, 100, (slow, REPORT), &mut now);
    let count = calls_to_first(&mut table, 300, (slow, REPORT), &mut now);
    assert!(count < 30, "{count} of 300");
}

#[test]
fn a_reported_limit_counts_for_no_more_than_some_usual_ones() {
    let mut now = Instant::now();
    let mut table = table(2, now);
    let boast = LoadReport {
        in_flight: 0,
        limit: u16::MAX,
        ..REPORT
    };
    calls_to_first(&mut table, 100, (TYPICAL, boast), &mut now);
    let mut rng = SmallRng::seed_from_u64(SEED);
    let honest = (0..120)
        .filter(|_| table.choose(&service(), &[], now, &mut rng) == Ok(node(2)))
        .count();
    assert!(honest >= 10, "{honest} of 120");
}

/// States after attempts at the first `stalled` of three endpoints have gone unanswered for long.
fn states_with_stalled(stalled: u8) -> Vec<EndpointState> {
    let mut now = Instant::now();
    let mut table = table(3, now);
    calls_to_first(&mut table, 100, (TYPICAL, REPORT), &mut now);
    let mut rng = SmallRng::seed_from_u64(SEED);
    for number in 1..=stalled {
        let others: Vec<NodeId> = (1..=3).filter(|n| *n != number).map(node).collect();
        let chosen = table.choose(&service(), &others, now, &mut rng);
        assert_eq!(chosen, Ok(node(number)));
    }
    table.tick(now + TYPICAL * 9);
    table.snapshot().iter().map(|row| row.state).collect()
}

#[test]
fn stalled_endpoints_are_ejected_unless_they_are_most_of_the_service() {
    use EndpointState::{Ejected, Probing, Ramping};
    assert_eq!(states_with_stalled(1), [Ejected, Ramping, Ramping]);
    assert_eq!(states_with_stalled(3), [Probing, Probing, Probing]);
}
