//! How long a call may take, and how much of that it may wait for a slot.
//!
//! **Rule.** A call's deadline is the time that its sender waits, at most the time-out of its route. A
//! fresh request waits for a slot for a small part of its route's target latency, a nested call for the
//! greater part of its time.
//!
//! **Inputs.** The time that the sender waits, in milliseconds from the arrival of the request, if
//! it states one; time-out and target latency of the route, from the configuration in force;
//! whether the call is nested; all counted from when the request's head was read.
//!
//! **Output.** [`CallTimes`].
//!
//! **Why.** A fresh request that finds no slot is refused early, as its caller may still come back in
//! time. The work above a nested call is already paid for, so it waits for as long as its answer can
//! still be used.

use std::time::Duration;

use crate::{clock::BootInstant, configuration::Route};

/// Part of the target latency that a fresh request may wait for a slot. 0.12, 0.22 and 0.5 gave the
/// same on a recorded day of high load (0.870 of the value of its requests, one run each). Origin
/// of the figure not recorded.
const FRESH_WAIT: f64 = 0.22;
/// Part of its time that a nested call may wait for a slot. Origin not recorded.
const NESTED_WAIT: f64 = 0.6;

/// The times of a call.
pub(super) struct CallTimes {
    /// When its answer must be there.
    pub(super) deadline: BootInstant,
    /// Until when it may wait for a slot.
    pub(super) wait_until: BootInstant,
}

impl CallTimes {
    /// The times of a call whose sender states its patience in this header value.
    pub(super) fn of(
        arrived: BootInstant,
        patience_ms: Option<&str>,
        route: &Route,
        is_nested: bool,
    ) -> Self {
        let patience = patience_ms.and_then(patience_of);
        let allowed = patience.map_or(route.timeout, |patience| patience.min(route.timeout));
        let wait = if is_nested {
            allowed.mul_f64(NESTED_WAIT)
        } else {
            route.target_latency.mul_f64(FRESH_WAIT)
        };
        Self {
            deadline: arrived + allowed,
            wait_until: arrived + wait.min(allowed),
        }
    }
}

/// The time that a sender will wait; `None` when it states none that can be read, and the time-out of
/// the route holds.
fn patience_of(milliseconds: &str) -> Option<Duration> {
    let milliseconds: f64 = milliseconds.parse().ok()?;
    Duration::try_from_secs_f64(milliseconds / 1000.0).ok()
}
