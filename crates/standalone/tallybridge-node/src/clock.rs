//! Wall-clock time.

use std::time::{SystemTime, UNIX_EPOCH};

/// The time by this machine's wall clock, in milliseconds since the Unix epoch.
#[must_use]
pub fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |time| {
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    })
}
