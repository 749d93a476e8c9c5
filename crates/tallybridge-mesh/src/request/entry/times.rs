//! Deadline of a call, and how long the call may wait for a slot.
//!
//! A call must be answered within the timeout of its sender and within the timeout of its route. A
//! fresh request waits for a slot for a small part of its route's target latency: it is refused early,
//! so that its caller can still retry in time. A nested call may wait for the greater part of its
//! time, because the work above it is wasted if the nested call is refused. All times count from when
//! the head of the request was read.

use std::time::Duration;

use crate::{clock::BootInstant, configuration::Route};

/// Fraction of the target latency for which a fresh request may wait for a slot.
const FRESH_WAIT_FRACTION: f64 = 0.22;
/// Fraction of its timeout for which a nested call may wait for a slot.
const NESTED_WAIT_FRACTION: f64 = 0.6;

pub(super) struct CallTimes {
    pub(super) deadline: BootInstant,
    /// End of the wait for a slot; at most `deadline`.
    pub(super) wait_until: BootInstant,
}

impl CallTimes {
    /// Computes the times of a call. `requested_timeout_ms` is the sender's deadline header.
    pub(super) fn new(
        arrived: BootInstant,
        requested_timeout_ms: Option<&str>,
        route: &Route,
        is_nested: bool,
    ) -> Self {
        let requested_timeout = requested_timeout_ms.and_then(parse_timeout);
        let call_timeout = requested_timeout.map_or(route.timeout, |requested_timeout| {
            requested_timeout.min(route.timeout)
        });
        let max_wait = if is_nested {
            call_timeout.mul_f64(NESTED_WAIT_FRACTION)
        } else {
            route.target_latency.mul_f64(FRESH_WAIT_FRACTION)
        };
        Self {
            deadline: arrived + call_timeout,
            wait_until: arrived + max_wait.min(call_timeout),
        }
    }
}

/// Returns the sender's timeout, or `None` if the value is not a number of milliseconds.
fn parse_timeout(milliseconds: &str) -> Option<Duration> {
    let milliseconds: f64 = milliseconds.parse().ok()?;
    Duration::try_from_secs_f64(milliseconds / 1000.0).ok()
}
