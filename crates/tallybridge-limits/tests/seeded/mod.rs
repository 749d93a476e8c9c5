//! Configuration of property tests that generates the same cases on every run.

use proptest::test_runner::{Config, RngAlgorithm, RngSeed};

/// Applies unless the environment sets a seed.
const DEFAULT_SEED: u64 = 5;

/// Returns a `proptest` configuration with the seed of `PROPTEST_RNG_SEED`, or a fixed one.
pub fn config() -> Config {
    let environment = Config::default();
    let rng_seed = match environment.rng_seed {
        RngSeed::Random => RngSeed::Fixed(DEFAULT_SEED),
        fixed => fixed,
    };
    Config {
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed,
        failure_persistence: None,
        ..environment
    }
}
