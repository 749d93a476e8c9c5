//! The clock that all processes of a run share: the machine's own.

use std::time::{SystemTime, UNIX_EPOCH};

/// Microseconds since the Unix epoch.
#[must_use]
pub fn unix_us() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}
