//! Compares the cost of reading `BootInstant`, which includes suspended time, with tokio's clock. Prints
//! the median of 21 rounds in nanoseconds.
//!
//! `cargo run --release -p tallybridge-mesh --example clock_cost`

use std::{hint::black_box, time::Instant as StdInstant};

use tallybridge_mesh::clock::BootInstant;
use tokio::time::Instant;

const ROUNDS: usize = 21;
const READS: u32 = 100_000;

fn report<T>(label: &str, mut read: impl FnMut() -> T) {
    let mut times_ns: Vec<_> = (0..ROUNDS)
        .map(|_| {
            let start = StdInstant::now();
            for _ in 0..READS {
                black_box(read());
            }
            start.elapsed().as_nanos() / u128::from(READS)
        })
        .collect();
    times_ns.sort_unstable();
    println!("{label}: {} ns", times_ns[ROUNDS / 2]);
}

fn main() {
    report("tokio Instant", Instant::now);
    report("BootInstant", BootInstant::now);
    report("BootInstant of an arrival", BootInstant::earliest_arrival);
}
