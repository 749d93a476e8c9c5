//! No position of a call graph runs more often than the allowance of its root says, whatever
//! answers are lost and whatever a nested call claims to have left.
//!
//! `PROPTEST_CASES=10000 cargo test --release -p tallybridge-limits --test allowance` is the long
//! run.

mod seeded;

use std::collections::BTreeMap;

use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tallybridge_overload::Allowance;

/// How often calls fail, and how their answers mislead, as shares of 0 to 1.
#[derive(Debug, Clone, Copy)]
struct Faults {
    failed: f64,
    answer_lost: f64,
    claims_too_much: f64,
}

/// A call graph: a chain with leaves beside it, and the runs of each position.
struct Graph {
    depth: usize,
    leaves: usize,
    faults: Faults,
    rng: SmallRng,
    runs: BTreeMap<(usize, usize), u32>,
}

impl Graph {
    /// Runs the position once with `lent` retries, and returns whether it failed and what it
    /// claims to have left; `None` when its answer is lost.
    fn run(&mut self, level: usize, branch: usize, lent: u8) -> Option<(bool, u8)> {
        *self.runs.entry((level, branch)).or_default() += 1;
        let mut allowance = Allowance::root(lent);
        let mut failed = self.rng.random_bool(self.faults.failed);
        if level < self.depth && branch == 0 {
            for next in 0..=self.leaves {
                failed |= !self.call(level + 1, next, &mut allowance);
            }
        }
        if self.rng.random_bool(self.faults.answer_lost) {
            return None;
        }
        let left = if self.rng.random_bool(self.faults.claims_too_much) {
            u8::MAX
        } else {
            allowance.remaining()
        };
        Some((failed, left))
    }

    /// Calls the position until it succeeds or nothing pays for a retry.
    fn call(&mut self, level: usize, branch: usize, allowance: &mut Allowance) -> bool {
        loop {
            let lent = allowance.lend();
            let answer = self.run(level, branch, lent);
            if let Some((failed, unused)) = answer {
                allowance.give_back(unused, lent);
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
    fn no_position_runs_more_than_one_and_the_allowance(
        retries in 0..12_u8,
        depth in 1..=23_usize,
        leaves in 0..3_usize,
        failed in 0.0..1.0_f64,
        answer_lost in 0.0..0.5_f64,
        claims_too_much in 0.0..0.5_f64,
        seed in any::<u64>(),
    ) {
        let faults = Faults { failed, answer_lost, claims_too_much };
        let mut graph = graph(depth, leaves, faults, seed);
        graph.call(1, 0, &mut Allowance::root(retries));
        for (position, runs) in &graph.runs {
            let bound = 1 + u32::from(retries);
            prop_assert!(*runs <= bound, "{position:?} ran {runs} times, bound {bound}");
        }
    }
}

#[test]
fn all_that_is_unused_comes_back_when_no_answer_is_lost() {
    let faults = Faults {
        failed: 0.0,
        answer_lost: 0.0,
        claims_too_much: 0.0,
    };
    for depth in [3, 8, 23] {
        let mut graph = graph(depth, 0, faults, 1);
        let mut allowance = Allowance::root(3);
        assert!(graph.call(1, 0, &mut allowance));
        assert_eq!(allowance.remaining(), 3);
    }
}

#[test]
fn lends_half_rounded_up_and_takes_back_what_can_be_true() {
    let mut allowance = Allowance::root(3);
    let lent = allowance.lend();
    assert_eq!((lent, allowance.remaining()), (2, 1));
    allowance.give_back(lent + 1, lent);
    assert_eq!(allowance.remaining(), 1);
    allowance.give_back(lent, lent);
    assert_eq!(allowance.remaining(), 3);
}

#[test]
fn pays_for_as_many_retries_as_it_has() {
    let mut allowance = Allowance::root(2);
    let paid = (0..4).filter(|_| allowance.spend()).count();
    assert_eq!(paid, 2);
}
