//! Rate-limited log lines.
//!
//! Refusals ([`decisions`]) and malformed data from other programs can occur at any rate, so their
//! lines are limited ([`rate_limit`]). Other lines are written without a limit.

pub mod decisions;
pub mod rate_limit;
