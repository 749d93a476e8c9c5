//! Benchmarks of the claim table.
fn main() {}
