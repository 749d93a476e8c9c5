//! The distribution and the bounds of retry delays.

use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tallybridge_overload::Backoff;

#[test]
fn delay_is_spread_below_doubling_bound() {
    let backoff = Backoff {
        base: Duration::from_millis(10),
        max: Duration::from_millis(200),
    };
    let mut rng = SmallRng::seed_from_u64(5);
    for (retry, bound) in [(0, 10), (1, 20), (4, 160), (5, 200), (40, 200)] {
        let bound = Duration::from_millis(bound);
        let delays: Vec<_> = (0..1000).map(|_| backoff.delay(retry, &mut rng)).collect();
        assert!(delays.iter().all(|delay| *delay < bound));
        assert!(delays.iter().any(|delay| *delay > bound.mul_f64(0.95)));
        assert!(delays.iter().any(|delay| *delay < bound.mul_f64(0.05)));
    }
}

#[test]
fn no_delay_reaches_deadline() {
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
    let without_delay = delays.iter().filter(|delay| delay.is_none()).count();
    assert!(
        (400..600).contains(&without_delay),
        "{without_delay} of 1000 delays would reach the deadline"
    );
    assert_eq!(backoff.within(0, deadline, now, &mut rng), None);
}
