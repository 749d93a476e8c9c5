//! The tasks that speak to callers, operators, peers, the back end and the platform.

pub mod admin;
pub mod backend;
pub mod caller;
pub mod catch_up;
pub mod claims;
pub mod discovery;
pub mod fleet;
pub mod gossip;
pub mod peer;
pub mod store;
