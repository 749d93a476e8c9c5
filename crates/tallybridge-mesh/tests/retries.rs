//! Repeats: over the fleet they stay within the users' ratio at each service of a chain, however many
//! levels repeat, and urgent calls have the first claim to what there is.

use std::{sync::Arc, time::Duration};

use proptest::{prelude::*, test_runner::RngSeed};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tallybridge_mesh::clock::BootInstant;
use tallybridge_mesh::{
    settings::RetrySettings,
    tables::{FirstAttempt, RetryBudgets, RetryRequest},
};

const SETTINGS: RetrySettings = RetrySettings {
    ratio: 0.2,
    window_ms: 10_000,
    slack: 55,
};
const WINDOW: Duration = Duration::from_millis(SETTINGS.window_ms);
/// Arrivals of a window that are allowed besides, as whole repeats at each node.
const SLACK: f64 = 8.0;
const SENDING: FirstAttempt = FirstAttempt {
    is_below_retry: false,
};

fn repeat(calls_others: bool, is_urgent: bool) -> RetryRequest {
    RetryRequest {
        calls_others,
        is_urgent,
    }
}

fn paid(
    budgets: &mut RetryBudgets,
    service: &Arc<str>,
    repeat: RetryRequest,
    now: BootInstant,
) -> usize {
    let tries = 0..5000;
    tries
        .filter(|_| budgets.withdraw(service, repeat, now))
        .count()
}

#[test]
fn repeats_are_a_bounded_share_and_all_of_them_together() {
    let service: Arc<str> = "ledger".into();
    let now = BootInstant::now();
    let earned = || {
        let mut budgets = RetryBudgets::new(SETTINGS);
        assert!(!budgets.withdraw(&service, repeat(false, true), now));
        for _ in 0..1000 {
            budgets.record_first_attempt(&service, SENDING, now);
        }
        budgets
    };
    let deepest = paid(&mut earned(), &service, repeat(false, true), now);
    assert!((170..=190).contains(&deepest), "{deepest}");
    let above = paid(&mut earned(), &service, repeat(true, true), now);
    assert!((20..=30).contains(&above), "{above}");
    let mut budgets = earned();
    let both = paid(&mut budgets, &service, repeat(true, true), now)
        + paid(&mut budgets, &service, repeat(false, true), now);
    assert!(both <= 190, "{both}");
    let later = now + Duration::from_secs(11);
    let forgotten = paid(&mut earned(), &service, repeat(false, true), later);
    assert_eq!(forgotten, 0, "what was earned is forgotten");
}

#[test]
fn calls_of_a_run_that_is_a_repeat_are_charged() {
    let service: Arc<str> = "ledger".into();
    let now = BootInstant::now();
    let mut budgets = RetryBudgets::new(SETTINGS);
    for number in 0..1000 {
        let sending = FirstAttempt {
            is_below_retry: number % 10 == 0,
        };
        budgets.record_first_attempt(&service, sending, now);
    }
    let left = paid(&mut budgets, &service, repeat(false, true), now);
    assert!((70..=90).contains(&left), "100 of 180 are spent: {left}");
}

/// Sends calls, half of them urgent, of which a part must be sent again; gives the parts of the
/// urgent and of the lesser ones that were paid for.
fn paid_parts(failing_urgent: f64, failing_lesser: f64) -> [f64; 2] {
    let service: Arc<str> = "ledger".into();
    let mut budgets = RetryBudgets::new(SETTINGS);
    let began = BootInstant::now();
    let mut random = SmallRng::seed_from_u64(7);
    let (mut asked, mut paid) = ([0_u32; 2], [0_u32; 2]);
    // All is well for a window, then not for as long.
    for number in 0..40_000_u32 {
        let now = began + Duration::from_micros(500) * number;
        budgets.record_first_attempt(&service, SENDING, now);
        let is_urgent = number % 2 == 0;
        let failing = if is_urgent {
            failing_urgent
        } else {
            failing_lesser
        };
        if number >= 20_000 && random.random_bool(failing) {
            let class = usize::from(!is_urgent);
            asked[class] += 1;
            paid[class] += u32::from(budgets.withdraw(&service, repeat(false, is_urgent), now));
        }
    }
    [0, 1].map(|class| f64::from(paid[class]) / f64::from(asked[class].max(1)))
}

#[test]
fn urgent_calls_have_the_first_claim_where_there_is_not_enough_for_all() {
    let [urgent, lesser] = paid_parts(0.3, 0.9);
    assert!(urgent > 0.9, "{urgent}");
    assert!(lesser < 0.3, "{lesser}");
}

#[test]
fn lesser_calls_are_repeated_as_well_where_there_is_enough() {
    let [urgent, lesser] = paid_parts(0.1, 0.1);
    assert!(urgent > 0.99 && lesser > 0.99, "{urgent} {lesser}");
    let [_, lesser] = paid_parts(0.0, 0.3);
    assert!(lesser > 0.99, "nobody urgent asks: {lesser}");
}

/// One service of a chain: the nodes that send it calls, and what arrives.
struct Level {
    budgets: Vec<RetryBudgets>,
    service: Arc<str>,
    requests: Vec<Duration>,
    repeats: Vec<Duration>,
}

/// A chain of services; the back ends of each call those of the next one.
struct Chain {
    levels: Vec<Level>,
    fan_out: Vec<usize>,
    /// Part of the arrivals at each level that end badly.
    failing: Vec<f64>,
    random: SmallRng,
    began: BootInstant,
}

impl Chain {
    fn new(fan_out: &[usize], failing: &[f64], nodes: usize, seed: u64) -> Self {
        let levels = (0..fan_out.len()).map(|level| Level {
            budgets: (0..nodes).map(|_| RetryBudgets::new(SETTINGS)).collect(),
            service: format!("service-{level}").into(),
            requests: Vec::new(),
            repeats: Vec::new(),
        });
        Self {
            levels: levels.collect(),
            fan_out: fan_out.to_vec(),
            failing: failing.to_vec(),
            random: SmallRng::seed_from_u64(seed),
            began: BootInstant::now(),
        }
    }

    /// A call to the service of a level; whether it ends well.
    fn call(&mut self, level: usize, is_below_retry: bool, at: Duration) -> bool {
        let now = self.began + at;
        let node = self
            .random
            .random_range(0..self.levels[level].budgets.len());
        let is_last = level + 1 == self.levels.len();
        let of_level = &mut self.levels[level];
        let service = of_level.service.clone();
        let sending = FirstAttempt { is_below_retry };
        of_level.budgets[node].record_first_attempt(&service, sending, now);
        of_level.requests.push(at);
        if is_below_retry {
            of_level.repeats.push(at);
        }
        if self.run(level, is_below_retry, at) {
            return true;
        }
        let again = repeat(!is_last, false);
        let of_level = &mut self.levels[level];
        if !of_level.budgets[node].withdraw(&service, again, now) {
            return false;
        }
        of_level.repeats.push(at);
        self.run(level, true, at)
    }

    /// A run at a back end: its own calls, one after the other, then its own luck.
    fn run(&mut self, level: usize, is_retry: bool, at: Duration) -> bool {
        if self.random.random_bool(self.failing[level]) {
            return false;
        }
        let is_last = level + 1 == self.levels.len();
        let calls = if is_last { 0 } else { self.fan_out[level] };
        (0..calls).all(|_| self.call(level + 1, is_retry, at))
    }

    /// The most by which any window exceeds what is allowed, at any level.
    fn excess(&self) -> f64 {
        let levels = self.levels.iter();
        let excess = levels.flat_map(|level| {
            level.repeats.iter().map(|end| {
                let repeats = within(&level.repeats, *end);
                let half = WINDOW / 2;
                let windows = [*end, end.saturating_sub(half), end.saturating_sub(WINDOW)];
                let requests = windows.map(|end| within(&level.requests, end));
                let most = requests.into_iter().max().unwrap_or(0);
                let nodes = level.budgets.len() as f64;
                repeats as f64 - (most as f64 * SETTINGS.ratio + nodes * SLACK)
            })
        });
        excess.fold(f64::MIN, f64::max)
    }
}

/// Times in the window that ends with one; they are in order.
fn within(times: &[Duration], end: Duration) -> usize {
    let start = end.saturating_sub(WINDOW);
    times.partition_point(|at| *at <= end) - times.partition_point(|at| *at < start)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 60,
        rng_seed: RngSeed::Fixed(20_261_202),
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_service_of_a_chain_stays_within_the_ratio(
        fan_out in prop::collection::vec(1_usize..4, 1..6),
        failing in prop::collection::vec(0.0..0.8_f64, 6),
        failing_later in prop::collection::vec(0.0..0.8_f64, 6),
        nodes in 1_usize..6,
        seed in any::<u64>(),
    ) {
        let mut chain = Chain::new(&fan_out, &failing, nodes, seed);
        // Roots come at 20 a second for 25 s; the services fail otherwise in the second half.
        for root in 0..500_u32 {
            if root == 250 {
                chain.failing.clone_from(&failing_later);
            }
            chain.call(0, false, Duration::from_millis(50) * root);
        }
        let excess = chain.excess();
        prop_assert!(excess <= 0.0, "{excess} repeats too many");
    }
}
