//! Bounds of the numeric fields.

use std::ops::RangeInclusive;

/// Deadlines, in milliseconds.
pub const DEADLINE_MS: RangeInclusive<u32> = 1..=u32::MAX;
/// Largest bodies, in bytes.
pub const BODY_BYTES: RangeInclusive<u32> = 1..=u32::MAX;
/// Concurrency limits and connections.
pub const CONCURRENCY: RangeInclusive<u16> = 1..=u16::MAX;
/// Reserved slots.
pub const RESERVE: RangeInclusive<u16> = 0..=u16::MAX;
/// Retries of one request.
pub const RETRY_ALLOWANCE: RangeInclusive<u8> = 0..=u8::MAX;
/// Time that a planned stop waits, in milliseconds; at 0 it waits for nothing.
pub const DRAIN_MS: RangeInclusive<u32> = 0..=u32::MAX;
/// Characters of a name; the length is that of a DNS label (RFC 1035 section 2.3.4).
pub const NAME_LENGTH: RangeInclusive<usize> = 1..=63;
