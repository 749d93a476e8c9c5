//! Where requests come in and go out.

pub mod backend;
pub mod caller;
pub mod control;
pub mod metrics;
