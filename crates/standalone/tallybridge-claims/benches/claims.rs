//! Time of a vote against the number of remembered keys.

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use tallybridge_claims::{Candidate, ClaimTable, PartitionId, PartitionMap, Presence, plan};
use tallybridge_core::{AttemptId, InstanceId, NodeId, RequestKey};
use tallybridge_wire::{Message, claim::Claim};

const NOW_UNIX_MS: u64 = 1_800_000_000_000;
const KEYS: [u64; 4] = [1_000, 10_000, 100_000, 1_000_000];

fn node() -> NodeId {
    NodeId {
        address: ([127, 0, 0, 1], 1).into(),
        instance: InstanceId(1),
    }
}

fn map() -> PartitionMap {
    let alone = Candidate {
        node: node(),
        region: "r".into(),
        zone: "z".into(),
        rack: String::new(),
        presence: Presence::Live,
    };
    plan(
        &PartitionMap::default(),
        &[alone],
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
    let entry = map.entry(PartitionId::of(&key)).expect("planned");
    Message::Claim(Claim {
        key: key.into(),
        epoch: entry.epoch,
        run: 1,
        attempt: attempt.into(),
    })
}

fn votes(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("claim_vote");
    let map = map();
    for keys in KEYS {
        let mut table = ClaimTable::new(node(), usize::MAX);
        table.apply(&map);
        for number in 0..keys {
            table.handle(node(), &claim(&map, number), NOW_UNIX_MS);
        }
        // Claims on known keys, so that the table stays as large as it is.
        let known: Vec<Message> = (0..1000)
            .map(|one| claim(&map, one * (keys / 1000)))
            .collect();
        let mut next = known.iter().cycle();
        group.bench_function(BenchmarkId::from_parameter(keys), |bencher| {
            bencher.iter(|| {
                let message = next.next().expect("cycles");
                black_box(table.handle(node(), message, NOW_UNIX_MS))
            });
        });
    }
    group.finish();
}

criterion_group!(benches, votes);
criterion_main!(benches);
