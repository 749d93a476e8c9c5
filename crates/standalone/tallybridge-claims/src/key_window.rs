//! For how long a key can be claimed, and for how long its claims are remembered.

use tallybridge_core::RequestKey;

/// How long after its date a key can be claimed, in milliseconds.
pub const WINDOW_MS: u64 = 15 * 60 * 1000;

/// Largest difference between any clock and true time, in milliseconds. Callers' clocks count too,
/// as they date the keys.
pub const SKEW_MS: u64 = 5 * 1000;

/// Whether a key can be claimed or asked about now.
#[must_use]
pub fn is_open(key: &RequestKey, now_unix_ms: u64) -> bool {
    let issued = key.issued_unix_ms;
    let latest = now_unix_ms.saturating_add(SKEW_MS);
    issued <= latest && now_unix_ms < issued.saturating_add(WINDOW_MS)
}

/// Date before which keys are forgotten.
///
/// A replica remembers a key for two skews longer than it grants runs of it: a replica that joins
/// may have a clock that is behind by that much, and must not miss a key that it would still grant.
#[must_use]
pub fn forgotten_before(now_unix_ms: u64) -> u64 {
    now_unix_ms.saturating_sub(WINDOW_MS + 2 * SKEW_MS)
}

/// First date of keys that no replica can have granted, when some replicas ended before `now`.
///
/// A replica grants keys dated up to `SKEW_MS` ahead of its clock, which is ahead of true time by at
/// most `SKEW_MS`; the planner's clock is behind by at most as much.
#[must_use]
pub fn reset_barrier(now_unix_ms: u64) -> u64 {
    now_unix_ms.saturating_add(3 * SKEW_MS + 1)
}
