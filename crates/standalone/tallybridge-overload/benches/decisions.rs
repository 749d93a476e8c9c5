//! The cost of admission decisions by queue length, number of kinds and table size.

use std::hint::black_box;
use std::time::{Duration, Instant};

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tallybridge_core::{Criticality, LoadReport};
use tallybridge_limits::{AdmissionQueue, Offer, QueueSettings, QueuedCall};
use tallybridge_overload::{ConcurrencyLimit, EarlyRefusal, LimitSettings, Sample, SampleResult};

fn waiting_call(number: usize, now: Instant) -> QueuedCall<usize> {
    QueuedCall {
        criticality: Criticality::ALL[number % 4],
        deadline: now + Duration::from_millis(1000 + (number * 37 % 500) as u64),
        arrived: now,
        item: number,
    }
}

fn full_queue(length: usize, now: Instant) -> AdmissionQueue<usize> {
    let settings = QueueSettings {
        capacity: length,
        ..QueueSettings::default()
    };
    let mut queue = AdmissionQueue::new(settings);
    for number in 0..length {
        let offer = queue.offer(waiting_call(number, now), now);
        assert!(matches!(offer, Offer::Queued(_)));
    }
    queue
}

/// Takes a call from a full queue and offers a new one.
fn take_and_offer(criterion: &mut Criterion) {
    let now = Instant::now();
    let mut group = criterion.benchmark_group("take_and_offer");
    for length in [16, 64, 256, 1024, 4096, 16_384] {
        let mut queue = full_queue(length, now);
        let mut number = 0;
        group.bench_function(BenchmarkId::from_parameter(length), |bencher| {
            bencher.iter(|| {
                number += 1;
                let waiting = queue.take(now);
                black_box((waiting, queue.offer(waiting_call(number, now), now)))
            });
        });
    }
    group.finish();
}

/// Offers a critical call to a full queue, which displaces a less critical one.
fn displace(criterion: &mut Criterion) {
    let now = Instant::now();
    let mut group = criterion.benchmark_group("displace");
    for length in [16, 256, 4096] {
        let critical = QueuedCall {
            criticality: Criticality::CriticalPlus,
            ..waiting_call(0, now)
        };
        group.bench_function(BenchmarkId::from_parameter(length), |bencher| {
            bencher.iter_batched_ref(
                || full_queue(length, now),
                |queue| black_box(queue.offer(critical, now)),
                BatchSize::LargeInput,
            );
        });
    }
    group.finish();
}

/// Acquires and releases a slot, with one tick for every ten calls.
fn acquire_and_release(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("acquire_and_release");
    for kinds in [1_u16, 16, 256, 4096] {
        let mut limit = ConcurrencyLimit::new(LimitSettings::default());
        let mut now = Instant::now();
        let mut number = 0_u16;
        group.bench_function(BenchmarkId::from_parameter(kinds), |bencher| {
            bencher.iter(|| {
                number = number.wrapping_add(1);
                now += Duration::from_millis(1);
                let acquired = limit.try_acquire();
                let sample = Sample {
                    latency: Duration::from_millis(u64::from(5 + number % 7)),
                    result: SampleResult::Success,
                    kind: number % kinds,
                };
                limit.release(sample, now);
                if number.is_multiple_of(10) {
                    limit.tick(now);
                }
                black_box(acquired)
            });
        });
    }
    group.finish();
}

/// Checks a call whose criticality class every endpoint of the destination refuses.
fn refuse_early(criterion: &mut Criterion) {
    let now = Instant::now();
    let report = LoadReport {
        admitted_from: Some(Criticality::CriticalPlus),
        ..LoadReport::default()
    };
    let mut group = criterion.benchmark_group("refuse_early");
    for (destinations, endpoints) in [(54, 1), (54, 17), (54, 100), (1000, 17), (10_000, 17)] {
        let mut table = EarlyRefusal::new();
        for destination in 0..destinations {
            for endpoint in 0..endpoints {
                table.record(destination, endpoint, &report, now);
            }
        }
        let mut rng = SmallRng::seed_from_u64(5);
        let name = format!("{destinations}_destinations_{endpoints}_endpoints");
        group.bench_function(name, |bencher| {
            bencher.iter(|| {
                let destination = black_box(destinations / 2);
                table.should_refuse(&destination, Criticality::Sheddable, now, &mut rng)
            });
        });
    }
    group.finish();
}

criterion_group!(
    decisions,
    take_and_offer,
    displace,
    acquire_and_release,
    refuse_early
);
criterion_main!(decisions);
