//! Cost of reading the clock that counts suspended time, beside the tokio clock: nanoseconds, medians of 21
//! rounds.
//!
//! `cargo run --release -p tallybridge-mesh --example clock_cost`

use std::{hint::black_box, time::Instant as Clock};

use tallybridge_mesh::clock::BootInstant;
use tokio::time::Instant;

const ROUNDS: usize = 21;
const READS: u32 = 100_000;

fn report<T>(what: &str, mut read: impl FnMut() -> T) {
    let mut times: Vec<_> = (0..ROUNDS)
        .map(|_| {
            let began = Clock::now();
            for _ in 0..READS {
                black_box(read());
            }
            began.elapsed().as_nanos() / u128::from(READS)
        })
        .collect();
    times.sort_unstable();
    println!("{what}: {} ns", times[ROUNDS / 2]);
}

fn main() {
    report("tokio clock", Instant::now);
    report("clock that counts suspended time", BootInstant::now);
    report("time of an arrival", BootInstant::earliest_arrival);
}
