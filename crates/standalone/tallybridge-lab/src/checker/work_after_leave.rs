//! A back end that is leaving gets no new work after a few seconds.

use super::{Guarantee, History, Violation};
use crate::{
    fault::{Leave, LeaveCause},
    load::FIRST_PROBE,
    standin::backend::Execution,
};

/// How long new work may still come, in microseconds.
pub const GRACE_US: u64 = 3_000_000;

/// Finds work that reached a leaving back end after the grace time.
pub fn check(history: &History) -> Vec<Violation> {
    history
        .faults
        .leaves
        .iter()
        .flat_map(|leave| {
            history
                .executions
                .iter()
                .filter(|execution| is_late_work(leave, execution))
                .map(|execution| {
                    let after_ms = (execution.arrived_us - leave.began_us) / 1_000;
                    Violation::of_request(
                        Guarantee::WorkAfterLeave,
                        execution.place.request,
                        format!(
                            "{} got new work {after_ms} ms after it began to leave",
                            leave.backend
                        ),
                    )
                })
        })
        .collect()
}

fn is_late_work(leave: &Leave, execution: &Execution) -> bool {
    // Probes that go straight to the back end come without a token and past the node.
    let is_direct_probe = execution.place.request >= FIRST_PROBE && execution.token.is_empty();
    let is_over = leave
        .ended_us
        .is_some_and(|ended_us| execution.arrived_us >= ended_us);
    let is_of_old_state = leave.cause == LeaveCause::Drain && !execution.draining;
    execution.backend == leave.backend
        && execution.arrived_us > leave.began_us + GRACE_US
        && !is_over
        && !is_of_old_state
        && !is_direct_probe
}
