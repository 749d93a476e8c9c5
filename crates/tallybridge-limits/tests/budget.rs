//! Tests that a retry budget bounds retries in proportion to first attempts.

use std::time::{Duration, Instant};

use tallybridge_limits::{Budget, BudgetSettings};

const SETTINGS: BudgetSettings = BudgetSettings {
    ratio: 0.1,
    min_per_second: 1,
    ttl: Duration::from_secs(10),
};

/// Withdraws until the budget is exhausted and returns the number of retries, at most 1000.
fn withdraw_all(budget: &mut Budget, now: Instant) -> usize {
    (0..1000).take_while(|_| budget.withdraw(now)).count()
}

#[test]
fn allows_ratio_of_first_attempts_plus_minimum() {
    let now = Instant::now();
    let mut budget = Budget::new(SETTINGS);
    assert_eq!(withdraw_all(&mut budget, now), 10);
    for _ in 0..500 {
        budget.deposit(now);
    }
    assert_eq!(withdraw_all(&mut budget, now), 50);
}

#[test]
fn deposits_and_withdrawals_expire_after_ttl() {
    let now = Instant::now();
    let mut budget = Budget::new(SETTINGS);
    for _ in 0..500 {
        budget.deposit(now);
    }
    assert_eq!(withdraw_all(&mut budget, now + Duration::from_secs(9)), 60);
    assert_eq!(withdraw_all(&mut budget, now + Duration::from_secs(11)), 0);
    assert_eq!(withdraw_all(&mut budget, now + Duration::from_secs(20)), 10);
}

#[test]
fn bounds_retries_while_every_attempt_fails() {
    let start = Instant::now();
    let mut budget = Budget::new(SETTINGS);
    let mut retries = 0;
    for elapsed_ms in 0..60_000 {
        let now = start + Duration::from_millis(elapsed_ms);
        budget.deposit(now);
        retries += usize::from(budget.withdraw(now));
    }
    let max_retries = 6000 + 60 + 10;
    assert!(
        (5900..=max_retries).contains(&retries),
        "unexpected number of retries: {retries}"
    );
}
