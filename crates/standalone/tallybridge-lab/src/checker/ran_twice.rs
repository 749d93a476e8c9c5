//! A call that may not be repeated runs at most once, wherever and however often it is sent.

use std::collections::BTreeMap;

use super::{Guarantee, History, Violation};

/// Finds calls that may not be repeated and ran more than once.
pub fn check(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for request in &history.requests {
        let chain = history.chain(request);
        let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
        for execution in history.executions_of(request.request) {
            let position = execution.place.position.as_str();
            let repeatable = chain.get(position).is_none_or(|call| call.idempotent);
            if execution.ran() && !repeatable {
                *counts.entry(position).or_default() += 1;
            }
        }
        for (position, count) in counts {
            if count > 1 {
                violations.push(Violation::of_request(
                    Guarantee::RanTwice,
                    request.request,
                    format!("position {position} may run once and ran {count} times"),
                ));
            }
        }
    }
    violations
}
