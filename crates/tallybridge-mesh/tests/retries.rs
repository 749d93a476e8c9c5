//! Retry budgets: the retries to each service of a chain stay within the configured ratio, and
//! urgent calls are served first.

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
/// Retries that each node may send in a window beyond the ratio.
const SLACK: f64 = 8.0;
const FIRST_ATTEMPT: FirstAttempt = FirstAttempt {
    is_below_retry: false,
};

fn retry_request(calls_others: bool, is_urgent: bool) -> RetryRequest {
    RetryRequest {
        calls_others,
        is_urgent,
    }
}

fn count_granted(
    budgets: &mut RetryBudgets,
    service: &Arc<str>,
    retry: RetryRequest,
    now: BootInstant,
) -> usize {
    let requests = 0..5000;
    requests
        .filter(|_| budgets.withdraw(service, retry, now))
        .count()
}

#[test]
fn retries_stay_within_the_ratio() {
    let service: Arc<str> = "ledger".into();
    let now = BootInstant::now();
    let funded_budgets = || {
        let mut budgets = RetryBudgets::new(SETTINGS);
        assert!(!budgets.withdraw(&service, retry_request(false, true), now));
        for _ in 0..1000 {
            budgets.record_first_attempt(&service, FIRST_ATTEMPT, now);
        }
        budgets
    };
    let leaf_retries = count_granted(
        &mut funded_budgets(),
        &service,
        retry_request(false, true),
        now,
    );
    assert!((170..=190).contains(&leaf_retries), "{leaf_retries}");
    let inner_retries = count_granted(
        &mut funded_budgets(),
        &service,
        retry_request(true, true),
        now,
    );
    assert!((20..=30).contains(&inner_retries), "{inner_retries}");
    let mut budgets = funded_budgets();
    let total_retries = count_granted(&mut budgets, &service, retry_request(true, true), now)
        + count_granted(&mut budgets, &service, retry_request(false, true), now);
    assert!(total_retries <= 190, "{total_retries}");
    let later = now + Duration::from_secs(11);
    let after_window = count_granted(
        &mut funded_budgets(),
        &service,
        retry_request(false, true),
        later,
    );
    assert_eq!(
        after_window, 0,
        "the budget allows retries after its window"
    );
}

#[test]
fn charges_nested_calls_of_retries() {
    let service: Arc<str> = "ledger".into();
    let now = BootInstant::now();
    let mut budgets = RetryBudgets::new(SETTINGS);
    for number in 0..1000 {
        let attempt = FirstAttempt {
            is_below_retry: number % 10 == 0,
        };
        budgets.record_first_attempt(&service, attempt, now);
    }
    let remaining = count_granted(&mut budgets, &service, retry_request(false, true), now);
    assert!(
        (70..=90).contains(&remaining),
        "100 of 180 retries should be used; {remaining} remain"
    );
}

/// Sends calls, every second one urgent, some of which fail and need a retry. Returns the shares of
/// the requested retries that were granted to urgent and to other calls.
fn granted_shares(failing_urgent: f64, failing_other: f64) -> [f64; 2] {
    let service: Arc<str> = "ledger".into();
    let mut budgets = RetryBudgets::new(SETTINGS);
    let start = BootInstant::now();
    let mut random = SmallRng::seed_from_u64(7);
    let (mut requested, mut granted) = ([0_u32; 2], [0_u32; 2]);
    // No call fails in the first window.
    for number in 0..40_000_u32 {
        let now = start + Duration::from_micros(500) * number;
        budgets.record_first_attempt(&service, FIRST_ATTEMPT, now);
        let is_urgent = number % 2 == 0;
        let failure_rate = if is_urgent {
            failing_urgent
        } else {
            failing_other
        };
        if number >= 20_000 && random.random_bool(failure_rate) {
            let class = usize::from(!is_urgent);
            requested[class] += 1;
            granted[class] +=
                u32::from(budgets.withdraw(&service, retry_request(false, is_urgent), now));
        }
    }
    [0, 1].map(|class| f64::from(granted[class]) / f64::from(requested[class].max(1)))
}

#[test]
fn urgent_calls_get_scarce_budget_first() {
    let [urgent, other] = granted_shares(0.3, 0.9);
    assert!(urgent > 0.9, "{urgent}");
    assert!(other < 0.3, "{other}");
}

#[test]
fn other_calls_use_spare_budget() {
    let [urgent, other] = granted_shares(0.1, 0.1);
    assert!(urgent > 0.99 && other > 0.99, "{urgent} {other}");
    let [_, other] = granted_shares(0.0, 0.3);
    assert!(other > 0.99, "no urgent call requests a retry: {other}");
}

/// A service of a chain: the budgets of the nodes that call it, and the times of its calls.
struct ServiceLevel {
    budgets: Vec<RetryBudgets>,
    service: Arc<str>,
    requests: Vec<Duration>,
    retries: Vec<Duration>,
}

/// A chain of services; back ends of each service call the next one.
struct Chain {
    levels: Vec<ServiceLevel>,
    fan_out: Vec<usize>,
    /// Share of the executions that fail, by level.
    failure_rates: Vec<f64>,
    random: SmallRng,
    start: BootInstant,
}

impl Chain {
    fn new(fan_out: &[usize], failure_rates: &[f64], nodes: usize, seed: u64) -> Self {
        let levels = (0..fan_out.len()).map(|level| ServiceLevel {
            budgets: (0..nodes).map(|_| RetryBudgets::new(SETTINGS)).collect(),
            service: format!("service-{level}").into(),
            requests: Vec::new(),
            retries: Vec::new(),
        });
        Self {
            levels: levels.collect(),
            fan_out: fan_out.to_vec(),
            failure_rates: failure_rates.to_vec(),
            random: SmallRng::seed_from_u64(seed),
            start: BootInstant::now(),
        }
    }

    /// Calls the service of a level and returns whether the call succeeded.
    fn call(&mut self, level: usize, is_below_retry: bool, at: Duration) -> bool {
        let now = self.start + at;
        let node = self
            .random
            .random_range(0..self.levels[level].budgets.len());
        let is_last = level + 1 == self.levels.len();
        let current = &mut self.levels[level];
        let service = current.service.clone();
        let attempt = FirstAttempt { is_below_retry };
        current.budgets[node].record_first_attempt(&service, attempt, now);
        current.requests.push(at);
        if is_below_retry {
            current.retries.push(at);
        }
        if self.execute(level, is_below_retry, at) {
            return true;
        }
        let retry = retry_request(!is_last, false);
        let current = &mut self.levels[level];
        if !current.budgets[node].withdraw(&service, retry, now) {
            return false;
        }
        current.retries.push(at);
        self.execute(level, true, at)
    }

    /// Executes a call with its nested calls in sequence and returns whether all of it succeeded.
    fn execute(&mut self, level: usize, is_retry: bool, at: Duration) -> bool {
        if self.random.random_bool(self.failure_rates[level]) {
            return false;
        }
        let is_last = level + 1 == self.levels.len();
        let calls = if is_last { 0 } else { self.fan_out[level] };
        (0..calls).all(|_| self.call(level + 1, is_retry, at))
    }

    /// Returns the largest number of retries beyond the allowed number, over all windows and
    /// levels.
    fn max_excess_retries(&self) -> f64 {
        let levels = self.levels.iter();
        let excess = levels.flat_map(|level| {
            level.retries.iter().map(|end| {
                let retries = count_in_window(&level.retries, *end);
                let half_window = WINDOW / 2;
                let windows = [
                    *end,
                    end.saturating_sub(half_window),
                    end.saturating_sub(WINDOW),
                ];
                let requests = windows.map(|end| count_in_window(&level.requests, end));
                let max_requests = requests.into_iter().max().unwrap_or(0);
                let nodes = level.budgets.len() as f64;
                retries as f64 - (max_requests as f64 * SETTINGS.ratio + nodes * SLACK)
            })
        });
        excess.fold(f64::MIN, f64::max)
    }
}

/// Counts the times in the window that ends at `end`. The times must be sorted.
fn count_in_window(times: &[Duration], end: Duration) -> usize {
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
    fn each_service_of_chain_respects_ratio(
        fan_out in prop::collection::vec(1_usize..4, 1..6),
        failure_rates in prop::collection::vec(0.0..0.8_f64, 6),
        later_failure_rates in prop::collection::vec(0.0..0.8_f64, 6),
        nodes in 1_usize..6,
        seed in any::<u64>(),
    ) {
        let mut chain = Chain::new(&fan_out, &failure_rates, nodes, seed);
        // Requests arrive at 20 a second for 25 s. The failure rates change halfway.
        for root in 0..500_u32 {
            if root == 250 {
                chain.failure_rates.clone_from(&later_failure_rates);
            }
            chain.call(0, false, Duration::from_millis(50) * root);
        }
        let excess = chain.max_excess_retries();
        prop_assert!(excess <= 0.0, "{excess} retries above the limit");
    }
}
