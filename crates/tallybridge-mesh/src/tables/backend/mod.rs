//! The back end beside this node: which start of it runs, whether it takes work, its slots and the calls that
//! wait for one, how many of its calls fail, and how much work it is offered.

mod departures;
mod failures;
mod incarnation;
mod instance;
mod offered_load;
pub mod slot_share;
pub mod slots;

pub use failures::{FailureRate, FailureRateChange};
pub use incarnation::Incarnation;
pub use instance::{Ended, InstanceState, LocalInstance, ReportEffect};
