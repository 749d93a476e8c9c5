//! Checkers of the guarantees, from what callers and back ends recorded.

mod busy_slots;
mod config_reverted;
mod critical_shed_first;
mod cut_in_flight;
mod false_not_run;
mod history;
mod ran_twice;
mod retry_bound;
mod violation;
mod work_after_leave;
mod wrong_answer;

pub use history::History;
pub use violation::{Guarantee, Violation};

/// What the checkers found in one run.
#[derive(Debug, Clone, Default)]
pub struct CheckResult {
    /// Violations, guarantee by guarantee.
    pub violations: Vec<Violation>,
    /// Most executions of one call of one request.
    pub attempts_max: u64,
    /// What the templates allow for that.
    pub attempts_bound: u64,
}

/// Runs every checker over a history.
#[must_use]
pub fn check(history: &History) -> CheckResult {
    let attempts = retry_bound::count_attempts(history);
    let violations = [
        retry_bound::check(history),
        critical_shed_first::check(history),
        wrong_answer::check(history),
        false_not_run::check(history),
        ran_twice::check(history),
        work_after_leave::check(history),
        cut_in_flight::check(history),
        config_reverted::check(history),
    ];
    CheckResult {
        violations: violations.into_iter().flatten().collect(),
        attempts_max: attempts.max,
        attempts_bound: attempts.bound,
    }
}
