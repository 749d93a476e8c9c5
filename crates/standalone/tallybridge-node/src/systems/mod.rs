//! What runs over the tables: at each tick, or when a message asks for a decision.

pub mod admission;
pub mod begin;
pub mod claims;
pub mod membership;
pub mod record;
pub mod retry;
pub mod tick;
