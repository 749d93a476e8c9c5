//! Cost of one decision (a choice and the end of the attempt) by the number of endpoints of the
//! service, of other services, and of attempts in flight; and of a tick at the design size.

use std::{
    hint::black_box,
    net::SocketAddr,
    time::{Duration, Instant},
};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use rand::{SeedableRng, rngs::SmallRng};
use tallybridge_core::{InstanceId, LoadReport, NodeId, ServiceName};
use tallybridge_routing::{AttemptResult, Endpoint, EndpointTable, Locality, RoutingSettings};

/// Endpoints of one service at most.
const GREATEST_SERVICE: u32 = 40;
/// Services and endpoints at the design size.
const SERVICES: u32 = 54;
const ENDPOINTS_PER_SERVICE: u32 = 17;
const LATENCY: Duration = Duration::from_millis(20);

fn service(number: u32) -> ServiceName {
    format!("service-{number}").into()
}

fn endpoints(services: u32, each: u32) -> impl Iterator<Item = Endpoint> {
    (0..services * each).map(move |number| Endpoint {
        node: NodeId {
            address: SocketAddr::from((number.to_be_bytes(), 7000)),
            instance: InstanceId(u64::from(number)),
        },
        service: service(number / each),
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

/// One choice and the end of its attempt, while `in_flight` others go on.
fn decide(bencher: &mut criterion::Bencher<'_>, mut table: EndpointTable, in_flight: usize) {
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
            .expect("none leaves");
    }
    bencher.iter(|| {
        let node = table
            .choose(black_box(&called), &[], now, &mut rng)
            .expect("none leaves");
        let result = AttemptResult::Answered {
            latency: Duration::ZERO,
            load,
        };
        table.finish(node, result, now);
        now += Duration::from_nanos(100);
    });
}

fn decisions(criterion: &mut Criterion) {
    let now = Instant::now();
    let mut group = criterion.benchmark_group("decision");
    for each in [3, 12, GREATEST_SERVICE] {
        let id = BenchmarkId::new("endpoints of the service", each);
        group.bench_function(id, |bencher| {
            decide(bencher, table(endpoints(1, each), now), 0)
        });
    }
    for services in [1, 10, SERVICES, 10 * SERVICES] {
        let id = BenchmarkId::new("services", services);
        let all = || endpoints(services, ENDPOINTS_PER_SERVICE);
        group.bench_function(id, |bencher| decide(bencher, table(all(), now), 0));
    }
    for in_flight in [0, 100, 10_000] {
        let id = BenchmarkId::new("attempts in flight", in_flight);
        let all = || endpoints(1, ENDPOINTS_PER_SERVICE);
        group.bench_function(id, |bencher| decide(bencher, table(all(), now), in_flight));
    }
    group.finish();
}

fn ticks(criterion: &mut Criterion) {
    let mut now = Instant::now();
    let mut table = table(endpoints(SERVICES, ENDPOINTS_PER_SERVICE), now);
    criterion.bench_function("tick of 918 endpoints", |bencher| {
        bencher.iter(|| {
            now += LATENCY;
            table.tick(now);
        });
    });
}

criterion_group!(benches, decisions, ticks);
criterion_main!(benches);
