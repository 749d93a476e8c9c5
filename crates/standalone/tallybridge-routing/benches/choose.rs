//! Benchmarks of a routing decision (a choice and the end of its attempt) and of a tick.
//!
//! The decision benchmarks vary the number of endpoints, of services and of attempts in flight.

use std::{
    hint::black_box,
    net::SocketAddr,
    time::{Duration, Instant},
};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use rand::{SeedableRng, rngs::SmallRng};
use tallybridge_core::{InstanceId, LoadReport, NodeId, ServiceName};
use tallybridge_routing::{AttemptResult, Endpoint, EndpointTable, Locality, RoutingSettings};

/// Largest number of endpoints of one service.
const MAX_ENDPOINTS_PER_SERVICE: u32 = 40;
/// Number of services in a full-size deployment.
const SERVICE_COUNT: u32 = 54;
const TYPICAL_ENDPOINTS_PER_SERVICE: u32 = 17;
const TICK_STEP: Duration = Duration::from_millis(20);

fn service(number: u32) -> ServiceName {
    format!("service-{number}").into()
}

fn endpoints(services: u32, per_service: u32) -> impl Iterator<Item = Endpoint> {
    (0..services * per_service).map(move |number| Endpoint {
        node: NodeId {
            address: SocketAddr::from((number.to_be_bytes(), 7000)),
            instance: InstanceId(u64::from(number)),
        },
        service: service(number / per_service),
        region: "region".into(),
        zone: format!("zone-{}", number % 3).into(),
    })
}

fn table(endpoints: impl Iterator<Item = Endpoint>, now: Instant) -> EndpointTable {
    let local = Locality {
        region: "region".into(),
        zone: "zone-0".into(),
    };
    let mut table = EndpointTable::new(local, RoutingSettings::default());
    table.set_endpoints(endpoints, now);
    table
}

/// Measures one choice and the end of its attempt while `in_flight` other attempts stay in flight.
fn bench_decision(
    bencher: &mut criterion::Bencher<'_>,
    mut table: EndpointTable,
    in_flight: usize,
) {
    let mut now = Instant::now();
    let mut rng = SmallRng::seed_from_u64(1);
    let called = service(0);
    let load = LoadReport {
        in_flight: 8,
        limit: 20,
        ..LoadReport::default()
    };
    for _ in 0..in_flight {
        table
            .choose(&called, &[], now, &mut rng)
            .expect("no endpoint is leaving");
    }
    bencher.iter(|| {
        let node = table
            .choose(black_box(&called), &[], now, &mut rng)
            .expect("no endpoint is leaving");
        let result = AttemptResult::Answered {
            latency: Duration::ZERO,
            load,
        };
        table.finish(node, result, now);
        now += Duration::from_nanos(100);
    });
}

fn bench_decisions(criterion: &mut Criterion) {
    let now = Instant::now();
    let mut group = criterion.benchmark_group("decision");
    for per_service in [3, 12, MAX_ENDPOINTS_PER_SERVICE] {
        let id = BenchmarkId::new("endpoints of the service", per_service);
        group.bench_function(id, |bencher| {
            bench_decision(bencher, table(endpoints(1, per_service), now), 0)
        });
    }
    for services in [1, 10, SERVICE_COUNT, 10 * SERVICE_COUNT] {
        let id = BenchmarkId::new("services", services);
        let all_endpoints = || endpoints(services, TYPICAL_ENDPOINTS_PER_SERVICE);
        group.bench_function(id, |bencher| {
            bench_decision(bencher, table(all_endpoints(), now), 0)
        });
    }
    for in_flight in [0, 100, 10_000] {
        let id = BenchmarkId::new("attempts in flight", in_flight);
        let all_endpoints = || endpoints(1, TYPICAL_ENDPOINTS_PER_SERVICE);
        group.bench_function(id, |bencher| {
            bench_decision(bencher, table(all_endpoints(), now), in_flight)
        });
    }
    group.finish();
}

fn bench_ticks(criterion: &mut Criterion) {
    let mut now = Instant::now();
    let mut table = table(endpoints(SERVICE_COUNT, TYPICAL_ENDPOINTS_PER_SERVICE), now);
    criterion.bench_function("tick of 918 endpoints", |bencher| {
        bencher.iter(|| {
            now += TICK_STEP;
            table.tick(now);
        });
    });
}

criterion_group!(benches, bench_decisions, bench_ticks);
criterion_main!(benches);
