//! Log lines whose number others could drive up: they are written at a bounded rate.
//!
//! [`rate_limit`] has the one limiter. Callers may cause refusals as often as they like
//! ([`decisions`]), and other programs malformed reports and entries; lines that this node alone
//! causes need no limit.

pub mod decisions;
pub mod rate_limit;
