//! How stateful fuzzing runs: with a fixed seed, so that each run gives the same verdict.

use std::env;

use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

/// The settings of one fuzz test. `MASTIC_CASES` runs that many cases instead, and `MASTIC_SEED` other ones.
pub fn config(cases: u32) -> Config {
    let number = |name| env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    Config {
        cases: number("MASTIC_CASES").and_then(|cases| cases.try_into().ok()).unwrap_or(cases),
        rng_seed: RngSeed::Fixed(number("MASTIC_SEED").unwrap_or(5)),
        failure_persistence: None,
        max_shrink_iters: 20_000,
        ..Config::default()
    }
}
