//! The share of retries to first attempts.

use std::time::{Duration, Instant};

use tallybridge_limits::{Budget, BudgetSettings};

const SETTINGS: BudgetSettings = BudgetSettings {
    ratio: 0.1,
    min_per_second: 1,
    ttl: Duration::from_secs(10),
};

/// Retries paid for at `now`, at most 1000.
fn withdrawn(budget: &mut Budget, now: Instant) -> usize {
    (0..1000).take_while(|_| budget.withdraw(now)).count()
}

#[test]
fn pays_for_a_share_of_the_first_attempts_and_the_minimum() {
    let now = Instant::now();
    let mut budget = Budget::new(SETTINGS);
    assert_eq!(withdrawn(&mut budget, now), 10);
    for _ in 0..500 {
        budget.deposit(now);
    }
    assert_eq!(withdrawn(&mut budget, now), 50);
}

#[test]
fn deposits_and_withdrawals_are_forgotten_after_their_time() {
    let now = Instant::now();
    let mut budget = Budget::new(SETTINGS);
    for _ in 0..500 {
        budget.deposit(now);
    }
    assert_eq!(withdrawn(&mut budget, now + Duration::from_secs(9)), 60);
    assert_eq!(withdrawn(&mut budget, now + Duration::from_secs(11)), 0);
    assert_eq!(withdrawn(&mut budget, now + Duration::from_secs(20)), 10);
}

#[test]
fn retries_stay_below_their_share_while_every_attempt_fails() {
    let start = Instant::now();
    let mut budget = Budget::new(SETTINGS);
    let mut retries = 0;
    for attempt in 0..60_000 {
        let now = start + Duration::from_millis(attempt);
        budget.deposit(now);
        retries += usize::from(budget.withdraw(now));
    }
    let allowed = 6000 + 60 + 10;
    assert!((5900..=allowed).contains(&retries), "{retries}");
}
