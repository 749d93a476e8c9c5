//! A `proptest` configuration with a fixed seed, for reproducible runs.

use proptest::test_runner::{Config, RngAlgorithm, RngSeed};

const DEFAULT_SEED: u64 = 5;

/// Returns a configuration with a fixed seed, unless `PROPTEST_RNG_SEED` sets one.
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
