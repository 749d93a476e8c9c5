//! Measures the time of a vote for different numbers of remembered keys.

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use tallybridge_claims::{Candidate, ClaimTable, PartitionId, PartitionMap, Presence, plan};
use tallybridge_core::{AttemptId, InstanceId, NodeId, RequestKey};
use tallybridge_wire::{Message, claim::Claim};

const NOW_UNIX_MS: u64 = 1_800_000_000_000;
const KEY_COUNTS: [u64; 4] = [1_000, 10_000, 100_000, 1_000_000];

fn node() -> NodeId {
    NodeId {
        address: ([127, 0, 0, 1], 1).into(),
        instance: InstanceId(1),
    }
}

fn map() -> PartitionMap {
    let candidate = Candidate {
        node: node(),
        region: "r".into(),
        zone: "z".into(),
        rack: String::new(),
        presence: Presence::Live,
    };
    plan(
        &PartitionMap::default(),
        &[candidate],
        &Default::default(),
        NOW_UNIX_MS,
    )
}

fn claim(map: &PartitionMap, number: u64) -> Message {
    let key = RequestKey {
        issued_unix_ms: NOW_UNIX_MS - number % 800_000,
        digest: u128::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835),
    };
    let attempt = AttemptId {
        instance: InstanceId(2),
        sequence: number + 1,
    };
    let entry = map
        .entry(PartitionId::of(&key))
        .expect("the partition is in the map");
    Message::Claim(Claim {
        key: key.into(),
        epoch: entry.epoch,
        run: 1,
        attempt: attempt.into(),
    })
}

fn benchmark_votes(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("claim_vote");
    let map = map();
    for key_count in KEY_COUNTS {
        let mut table = ClaimTable::new(node(), usize::MAX);
        table.apply(&map);
        for number in 0..key_count {
            table.handle(node(), &claim(&map, number), NOW_UNIX_MS);
        }
        // Claims on known keys keep the table at a constant size.
        let claims_on_known_keys: Vec<Message> = (0..1000)
            .map(|index| claim(&map, index * (key_count / 1000)))
            .collect();
        let mut messages = claims_on_known_keys.iter().cycle();
        group.bench_function(BenchmarkId::from_parameter(key_count), |bencher| {
            bencher.iter(|| {
                let message = messages.next().expect("the iterator is endless");
                black_box(table.handle(node(), message, NOW_UNIX_MS))
            });
        });
    }
    group.finish();
}

criterion_group!(benches, benchmark_votes);
criterion_main!(benches);
