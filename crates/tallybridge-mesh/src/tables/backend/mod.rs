//! The back end beside this node. Each file owns one part of what is known of it:
//!
//! - `instance`: which start of it runs, and whether that takes work;
//! - `slots`: how many calls it gets at once, and the calls that wait;
//! - `slot_share`: which share of its slots is used;
//! - `offered_load`: how much work it is offered;
//! - `failures`: how many of its calls end badly.

mod failures;
mod incarnation;
mod instance;
mod offered_load;
pub mod slot_share;
pub mod slots;

pub use failures::{FailureRate, FailureRateChange};
pub use incarnation::Incarnation;
pub use instance::{EndedStart, InstanceState, LocalInstance, ReportEffect};
