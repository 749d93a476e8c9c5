//! With R retries at the root call, each position of a call graph runs at most 1 + R times, even if
//! answers are lost or report too many unused retries.
//!
//! Long run: `PROPTEST_CASES=10000 cargo test --release -p tallybridge-overload --test allowance`

mod seeded;

use std::collections::BTreeMap;

use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tallybridge_overload::Allowance;

/// Probabilities of faults.
#[derive(Debug, Clone, Copy)]
struct Faults {
    failure_share: f64,
    answer_loss_share: f64,
    false_report_share: f64,
}

/// A call graph: a chain of calls, each with additional leaf calls.
struct Graph {
    depth: usize,
    leaves: usize,
    faults: Faults,
    rng: SmallRng,
    /// Runs by level and branch; branch 0 is the chain.
    runs: BTreeMap<(usize, usize), u32>,
}

impl Graph {
    /// Runs a position once, and returns whether it failed and how many unused retries it reports,
    /// or `None` when the answer is lost.
    fn run(&mut self, level: usize, branch: usize, granted: u8) -> Option<(bool, u8)> {
        *self.runs.entry((level, branch)).or_default() += 1;
        let mut allowance = Allowance::root(granted);
        let mut failed = self.rng.random_bool(self.faults.failure_share);
        if level < self.depth && branch == 0 {
            for next in 0..=self.leaves {
                failed |= !self.call(level + 1, next, &mut allowance);
            }
        }
        if self.rng.random_bool(self.faults.answer_loss_share) {
            return None;
        }
        let unused = if self.rng.random_bool(self.faults.false_report_share) {
            u8::MAX
        } else {
            allowance.remaining()
        };
        Some((failed, unused))
    }

    /// Calls a position until it succeeds or no retry remains.
    fn call(&mut self, level: usize, branch: usize, allowance: &mut Allowance) -> bool {
        loop {
            let granted = allowance.lend();
            let answer = self.run(level, branch, granted);
            if let Some((failed, unused)) = answer {
                allowance.give_back(unused, granted);
                if !failed {
                    return true;
                }
            }
            if !allowance.spend() {
                return false;
            }
        }
    }
}

fn graph(depth: usize, leaves: usize, faults: Faults, seed: u64) -> Graph {
    Graph {
        depth,
        leaves,
        faults,
        rng: SmallRng::seed_from_u64(seed),
        runs: BTreeMap::new(),
    }
}

proptest! {
    #![proptest_config(seeded::config())]

    #[test]
    fn runs_per_position_stay_within_allowance(
        retries in 0..12_u8,
        depth in 1..=23_usize,
        leaves in 0..3_usize,
        failure_share in 0.0..1.0_f64,
        answer_loss_share in 0.0..0.5_f64,
        false_report_share in 0.0..0.5_f64,
        seed in any::<u64>(),
    ) {
        let faults = Faults { failure_share, answer_loss_share, false_report_share };
        let mut graph = graph(depth, leaves, faults, seed);
        graph.call(1, 0, &mut Allowance::root(retries));
        for (position, runs) in &graph.runs {
            let bound = 1 + u32::from(retries);
            prop_assert!(*runs <= bound, "{position:?} ran {runs} times, bound {bound}");
        }
    }
}

#[test]
fn restores_allowance_when_no_answer_is_lost() {
    let faults = Faults {
        failure_share: 0.0,
        answer_loss_share: 0.0,
        false_report_share: 0.0,
    };
    for depth in [3, 8, 23] {
        let mut graph = graph(depth, 0, faults, 1);
        let mut allowance = Allowance::root(3);
        assert!(graph.call(1, 0, &mut allowance));
        assert_eq!(allowance.remaining(), 3);
    }
}

#[test]
fn lends_half_and_ignores_excessive_returns() {
    let mut allowance = Allowance::root(3);
    let granted = allowance.lend();
    assert_eq!((granted, allowance.remaining()), (2, 1));
    allowance.give_back(granted + 1, granted);
    assert_eq!(allowance.remaining(), 1);
    allowance.give_back(granted, granted);
    assert_eq!(allowance.remaining(), 3);
}

#[test]
fn spends_at_most_the_remaining_retries() {
    let mut allowance = Allowance::root(2);
    let spent = (0..4).filter(|_| allowance.spend()).count();
    assert_eq!(spent, 2);
}
