//! Time limits for claiming a key and for remembering its claims.
//!
//! Keys carry the time of issue. Both limits allow for the difference between the clocks of the
//! caller, the executor and the replicas.

use tallybridge_core::RequestKey;

/// Time after its issue during which a key can be claimed, in milliseconds.
pub const WINDOW_MS: u64 = 15 * 60 * 1000;

/// Largest tolerated difference between a clock and true time, in milliseconds.
///
/// The limit includes the clocks of callers, because callers set the issue time of a key.
pub const SKEW_MS: u64 = 5 * 1000;

/// Returns whether a key is recent enough to be claimed or queried. The issue time may be up to
/// [`SKEW_MS`] in the future.
#[must_use]
pub fn is_open(key: &RequestKey, now_unix_ms: u64) -> bool {
    let issued = key.issued_unix_ms;
    let latest = now_unix_ms.saturating_add(SKEW_MS);
    issued <= latest && now_unix_ms < issued.saturating_add(WINDOW_MS)
}

/// Returns the issue time before which a replica forgets keys.
///
/// A replica remembers a key for twice [`SKEW_MS`] longer than it grants runs of the key. The clock
/// of a joining replica may be behind by that much, and the copied claims must include every key
/// for which the joining replica would still grant a run.
#[must_use]
pub fn forgotten_before(now_unix_ms: u64) -> u64 {
    now_unix_ms.saturating_sub(WINDOW_MS + 2 * SKEW_MS)
}

/// Returns the earliest issue time of keys of which no terminated replica can have granted a run.
///
/// A replica grants keys issued up to `SKEW_MS` ahead of its clock, its clock is at most `SKEW_MS`
/// ahead of true time, and the planner's clock is at most `SKEW_MS` behind.
#[must_use]
pub fn reset_barrier(now_unix_ms: u64) -> u64 {
    now_unix_ms.saturating_add(3 * SKEW_MS + 1)
}
