//! Bounds on what the log is given.

pub mod decisions;
pub mod rate_limit;
