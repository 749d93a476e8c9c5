//! Bytes of memory for each remembered key: `cargo run --release -p tallybridge-claims --example
//! claim_memory`. Keys are spread evenly over a window, as at a steady rate.

#![allow(unsafe_code, reason = "counts what the system allocator hands out")]

use std::{
    alloc::{GlobalAlloc, Layout, System},
    collections::BTreeSet,
    sync::atomic::{AtomicUsize, Ordering},
};

use tallybridge_claims::{Candidate, ClaimTable, PartitionMap, Presence, WINDOW_MS, plan};
use tallybridge_core::{AttemptId, InstanceId, NodeId, RequestKey};
use tallybridge_wire::{
    WireHeaders,
    claim::{Claim, ClaimFinish, StoredAnswer},
};

struct Counting;

static HELD: AtomicUsize = AtomicUsize::new(0);

// SAFETY: every call is passed on to the system allocator unchanged.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        HELD.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        HELD.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `dealloc`.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

const START_UNIX_MS: u64 = 1_800_000_000_000;
const ANSWER_BYTES: usize = 256;

fn main() {
    let node = NodeId {
        address: ([127, 0, 0, 1], 1).into(),
        instance: InstanceId(1),
    };
    let alone = Candidate {
        node,
        region: "r".into(),
        zone: "z".into(),
        rack: String::new(),
        presence: Presence::Live,
    };
    let map = plan(
        &PartitionMap::default(),
        &[alone],
        &BTreeSet::new(),
        START_UNIX_MS,
    );
    let json = serde_json::to_vec(&map).expect("serializes");
    println!(
        "map of one replica per partition: {} bytes of JSON",
        json.len()
    );
    for keys in [10_000, 100_000, 1_000_000] {
        for answer_bytes in [None, Some(ANSWER_BYTES)] {
            let per_key = bytes_per_key(node, &map, keys, answer_bytes);
            println!("{keys} keys, answers {answer_bytes:?}: {per_key} bytes a key");
        }
    }
}

fn bytes_per_key(node: NodeId, map: &PartitionMap, keys: u64, answer: Option<usize>) -> usize {
    let before = HELD.load(Ordering::Relaxed);
    let mut table = ClaimTable::new(node, usize::MAX);
    table.apply(map);
    for number in 0..keys {
        take(
            &mut table,
            number,
            START_UNIX_MS + number * (WINDOW_MS - 1) / keys,
            answer,
        );
    }
    assert_eq!(table.status().keys as u64, keys);
    let held = HELD.load(Ordering::Relaxed) - before;
    held / usize::try_from(keys).expect("fits")
}

fn take(table: &mut ClaimTable, number: u64, now_unix_ms: u64, answer_bytes: Option<usize>) {
    let key = RequestKey {
        issued_unix_ms: now_unix_ms,
        digest: u128::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835),
    };
    let attempt = AttemptId {
        instance: InstanceId(2),
        sequence: number + 1,
    };
    let claim = Claim {
        key: key.into(),
        epoch: 1,
        run: 1,
        attempt: attempt.into(),
    };
    table.claim(&claim, now_unix_ms);
    if let Some(bytes) = answer_bytes {
        let body = vec![0; bytes];
        let answer = StoredAnswer::new(200, WireHeaders::default(), &body).expect("small");
        table.finish(&ClaimFinish {
            key: key.into(),
            run: 1,
            attempt: attempt.into(),
            answer,
        });
    }
}
