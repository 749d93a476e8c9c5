//! Measures the cost of the quarantine per call. Prints the median of 21 rounds in nanoseconds.
//!
//! `cargo run --release -p tallybridge-mesh --example crash_cost`

use std::{hint::black_box, time::Instant as StdInstant};

use bytes::Bytes;
use tallybridge_mesh::clock::BootInstant;
use tallybridge_mesh::{
    platform::HeaderNames,
    protocol::{CallMessage, CrashReport, RequestDigest},
    tables::{
        Incarnation,
        quarantine::{CallContent, DispatchEnd, DispatchedCalls, Quarantine},
    },
};

const ROUNDS: usize = 21;
const CALLS_PER_ROUND: u32 = 20_000;

const NAMES: HeaderNames = HeaderNames {
    attempt: "Attempt",
    deadline_ms: "Deadline",
    expected_instance: "Expected",
    not_run: "Not-Run",
    caller_service: "Caller",
    instance: "Instance",
    credential: "Credential",
    tenant: "Tenant",
    rate_limit: "Rate-Limit",
    leaving: "Leaving",
};

fn call(number: u32) -> CallMessage {
    let head = format!(
        "GET /catalogue/{number:06x}?page=24&sort=new HTTP/1.1\r\nHost: prices.example\r\n\
         User-Agent: sdk-client/1.9.3\r\nAccept: */*\r\nAttempt: {number:016x}\r\n\
         Caller: portal\r\nTenant: ana\r\n"
    );
    CallMessage {
        remaining_ms: 1000,
        wait_ms: 100,
        criticality: 0,
        route_number: 0,
        is_idempotent: true,
        is_urgent: false,
        is_retry: false,
        is_head_request: false,
        attempt: Bytes::new(),
        head: head.into(),
        body: Bytes::new(),
    }
}

fn report(label: &str, mut run_round: impl FnMut(&[CallMessage])) {
    let calls: Vec<_> = (0..CALLS_PER_ROUND).map(call).collect();
    let mut times_ns: Vec<_> = (0..ROUNDS)
        .map(|_| {
            let start = StdInstant::now();
            run_round(&calls);
            start.elapsed().as_nanos() / u128::from(CALLS_PER_ROUND)
        })
        .collect();
    times_ns.sort_unstable();
    println!("{label}: {} ns per call", times_ns[ROUNDS / 2]);
}

fn main() {
    let incarnation = Incarnation::new("i-1".into(), 1);
    let mut dispatched = DispatchedCalls::new(NAMES, BootInstant::now());
    report("record dispatch and answer", |calls| {
        let now = BootInstant::now();
        for call in calls {
            let id = dispatched.begin(call, &incarnation, now);
            black_box(dispatched.end(id, DispatchEnd::Answered, now));
        }
    });
    report("compute digests (needed while a suspect exists)", |calls| {
        for call in calls {
            black_box(CallContent::new(call, &NAMES).digests());
        }
    });
    let mut quarantine = Quarantine::default();
    let suspects = (0..4096_u16).map(|number| {
        let mut digest = [7; 16];
        digest[..2].copy_from_slice(&number.to_be_bytes());
        RequestDigest(digest)
    });
    let report_with_all_suspects = CrashReport {
        id: 1,
        suspects: suspects.collect(),
    };
    quarantine.record_crash(&report_with_all_suspects, BootInstant::now());
    let digests = CallContent::new(&call(1), &NAMES).digests().to_array();
    report("look up in a full table", |calls| {
        let now = BootInstant::now();
        for _ in calls {
            black_box(quarantine.find(&digests, now));
        }
    });
}
