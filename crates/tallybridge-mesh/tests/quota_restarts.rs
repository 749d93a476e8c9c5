//! Tests that the limits of tenants hold while owners and entries are repeatedly restarted at the
//! same time, for various seeds, limits, fleet sizes and restart intervals.
//!
//! The tests guard against a new owner that grants a token to a restarted entry before other
//! entries have reported the earlier grants.
//!
//! `PLAYS=120 cargo test --release -p tallybridge-mesh --test quota_restarts` runs 120 seeds of
//! each case.

mod support;

use std::{env, time::Duration};

use self::support::quota::{Replacements, max_allowed, max_in_window_with_replacements};

/// Seeds to run for each case unless the environment variable `PLAYS` sets another number.
const DEFAULT_SEEDS: u64 = 1;

fn seed_count() -> u64 {
    env::var("PLAYS").map_or(DEFAULT_SEEDS, |count| {
        count.parse().expect("PLAYS is not a number of seeds")
    })
}

/// Simulates all seeds of one case and returns the first one that exceeds the limit as an error.
fn check_limit(replacements: &Replacements) -> Result<(), String> {
    for seed in 0..seed_count() {
        let max_requests = max_in_window_with_replacements(replacements, seed);
        let max_allowed = max_allowed(replacements.rate);
        if max_requests as f64 > max_allowed {
            return Err(format!(
                "{replacements:?}, seed {seed}: {max_requests} requests in a window; {max_allowed} are allowed"
            ));
        }
    }
    Ok(())
}

fn assert_limits_hold(entry_counts: &[usize], rates: &[f64]) {
    let mut cases = 0;
    let mut exceeded = Vec::new();
    for &entries in entry_counts {
        for &rate in rates {
            for lifetime_ms in [100, 130, 200, 500] {
                for restarted_entries in [0, 1, entries.div_ceil(3)] {
                    let replacements = Replacements {
                        rate,
                        entries,
                        owner_lifetime: Duration::from_millis(lifetime_ms),
                        restarted_entries,
                    };
                    cases += 1;
                    exceeded.extend(check_limit(&replacements).err());
                }
            }
        }
    }
    let count = exceeded.len();
    assert!(
        exceeded.is_empty(),
        "{count} of {cases} cases exceed the limit: {exceeded:#?}"
    );
}

#[test]
fn small_limits_hold_at_few_entries() {
    assert_limits_hold(&[2, 3, 4, 6, 12, 40], &[1.0, 2.0, 3.0, 5.0, 12.0, 20.0]);
}

#[test]
fn larger_limits_hold_at_few_entries() {
    assert_limits_hold(&[3, 40], &[100.0]);
}

/// With one entry, all knowledge of earlier grants is lost at once. With 300 entries at two
/// requests per second each, few of them send a request to a new owner within its first 55 ms.
#[test]
fn small_limits_hold_at_one_entry_and_at_many() {
    assert_limits_hold(&[1, 300], &[1.0, 5.0, 20.0]);
}
