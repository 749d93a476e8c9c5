//! Ejection by failures in a row, and what is left to choose then.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::{SeedableRng, rngs::SmallRng};
use tallybridge_core::{InstanceId, NodeId, ServiceName};
use tallybridge_routing::{
    AttemptResult, Endpoint, EndpointState, EndpointTable, Locality, RoutingSettings,
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
        let is_ejected = |row: &tallybridge_routing::EndpointStatus| {
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
