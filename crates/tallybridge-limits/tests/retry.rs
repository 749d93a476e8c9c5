//! The share of retries to first attempts, and the time before a retry.

use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tallybridge_limits::{Backoff, Budget, BudgetSettings};

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

#[test]
fn the_delay_is_spread_below_a_bound_that_doubles() {
    let backoff = Backoff {
        base: Duration::from_millis(10),
        max: Duration::from_millis(200),
    };
    let mut rng = SmallRng::seed_from_u64(5);
    for (attempt, bound) in [(0, 10), (1, 20), (4, 160), (5, 200), (40, 200)] {
        let bound = Duration::from_millis(bound);
        let delays: Vec<_> = (0..1000)
            .map(|_| backoff.delay(attempt, &mut rng))
            .collect();
        assert!(delays.iter().all(|delay| *delay < bound));
        assert!(delays.iter().any(|delay| *delay > bound.mul_f64(0.95)));
        assert!(delays.iter().any(|delay| *delay < bound.mul_f64(0.05)));
    }
}

#[test]
fn no_delay_ends_after_the_deadline() {
    let backoff = Backoff {
        base: Duration::from_millis(100),
        max: Duration::from_secs(1),
    };
    let mut rng = SmallRng::seed_from_u64(5);
    let now = Instant::now();
    let deadline = now + Duration::from_millis(50);
    let delays: Vec<_> = (0..1000)
        .map(|_| backoff.within(0, now, deadline, &mut rng))
        .collect();
    assert!(delays.iter().flatten().all(|delay| now + *delay < deadline));
    let none = delays.iter().filter(|delay| delay.is_none()).count();
    assert!((400..600).contains(&none), "{none}");
    assert_eq!(backoff.within(0, deadline, now, &mut rng), None);
}
