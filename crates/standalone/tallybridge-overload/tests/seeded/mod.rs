//! Fuzz tests that give the same verdict on every run.

use proptest::test_runner::{Config, RngAlgorithm, RngSeed};

/// The seed when none is set in the environment.
const SEED: u64 = 5;

/// Settings of `proptest` with a fixed seed, unless `PROPTEST_RNG_SEED` gives another.
pub fn config() -> Config {
    let environment = Config::default();
    let rng_seed = match environment.rng_seed {
        RngSeed::Random => RngSeed::Fixed(SEED),
        fixed => fixed,
    };
    Config {
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed,
        failure_persistence: None,
        ..environment
    }
}
