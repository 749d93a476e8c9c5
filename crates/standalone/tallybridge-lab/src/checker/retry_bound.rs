//! Each call of a request's chain runs at most once more than the root's allowance of retries.

use std::collections::BTreeMap;

use super::{Guarantee, History, Violation};
use crate::load::RequestRecord;

/// The greatest counts of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Attempts {
    /// Most executions of one call of one request.
    pub max: u64,
    /// Greatest bound of all kinds that were run.
    pub bound: u64,
}

/// Executions of each call of a request that did work, by position.
fn attempts_of(history: &History, request: u64) -> BTreeMap<&str, u64> {
    let mut counts = BTreeMap::new();
    for execution in history.executions_of(request) {
        if execution.ran() {
            *counts.entry(execution.place.position.as_str()).or_default() += 1;
        }
    }
    counts
}

fn bound_of(history: &History, request: &RequestRecord) -> u64 {
    history
        .root_policy(request)
        .map_or(1, |policy| 1 + u64::from(policy.retry_allowance))
}

/// Counts over all requests.
pub fn count_attempts(history: &History) -> Attempts {
    let mut attempts = Attempts::default();
    for request in &history.requests {
        let counts = attempts_of(history, request.request);
        let max = counts.values().copied().max().unwrap_or_default();
        attempts.max = attempts.max.max(max);
        attempts.bound = attempts.bound.max(bound_of(history, request));
    }
    attempts
}

/// Finds requests with more executions of one call than the bound.
pub fn check(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for request in &history.requests {
        let bound = bound_of(history, request);
        for (position, count) in attempts_of(history, request.request) {
            if count > bound {
                violations.push(Violation::of_request(
                    Guarantee::RetryBound,
                    request.request,
                    format!("position {position} ran {count} times, bound {bound}"),
                ));
            }
        }
    }
    violations
}
