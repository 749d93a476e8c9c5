//! Prints the memory use of each remembered key, in bytes.
//!
//! Run with `cargo run --release -p tallybridge-claims --example claim_memory`. Issue times are
//! spread evenly over the window, as at a constant rate of claims.

#![allow(unsafe_code, reason = "a global allocator counts allocated bytes")]

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

struct CountingAllocator;

static ALLOCATED_BYTES: AtomicUsize = AtomicUsize::new(0);

// SAFETY: every call is forwarded unchanged to the system allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED_BYTES.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        ALLOCATED_BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `dealloc`.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

const START_UNIX_MS: u64 = 1_800_000_000_000;
const ANSWER_BYTES: usize = 256;

fn main() {
    let node = NodeId {
        address: ([127, 0, 0, 1], 1).into(),
        instance: InstanceId(1),
    };
    let candidate = Candidate {
        node,
        region: "r".into(),
        zone: "z".into(),
        rack: String::new(),
        presence: Presence::Live,
    };
    let map = plan(
        &PartitionMap::default(),
        &[candidate],
        &BTreeSet::new(),
        START_UNIX_MS,
    );
    let json = serde_json::to_vec(&map).expect("the partition map serializes");
    println!(
        "map of one replica per partition: {} bytes of JSON",
        json.len()
    );
    for keys in [10_000, 100_000, 1_000_000] {
        for answer_bytes in [None, Some(ANSWER_BYTES)] {
            let per_key = bytes_per_key(node, &map, keys, answer_bytes);
            println!("{keys} keys, answers {answer_bytes:?}: {per_key} bytes per key");
        }
    }
}

fn bytes_per_key(
    node: NodeId,
    map: &PartitionMap,
    keys: u64,
    answer_bytes: Option<usize>,
) -> usize {
    let allocated_before = ALLOCATED_BYTES.load(Ordering::Relaxed);
    let mut table = ClaimTable::new(node, usize::MAX);
    table.apply(map);
    for number in 0..keys {
        insert_claim(
            &mut table,
            number,
            START_UNIX_MS + number * (WINDOW_MS - 1) / keys,
            answer_bytes,
        );
    }
    assert_eq!(table.status().keys as u64, keys);
    let allocated = ALLOCATED_BYTES.load(Ordering::Relaxed) - allocated_before;
    allocated / usize::try_from(keys).expect("the number of keys fits in usize")
}

fn insert_claim(
    table: &mut ClaimTable,
    number: u64,
    now_unix_ms: u64,
    answer_bytes: Option<usize>,
) {
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
        let answer = StoredAnswer::new(200, WireHeaders::default(), &body)
            .expect("the answer is below the size limit");
        table.finish(&ClaimFinish {
            key: key.into(),
            run: 1,
            attempt: attempt.into(),
            answer,
        });
    }
}
