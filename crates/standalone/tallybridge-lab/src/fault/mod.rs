//! Faults on a schedule, and what is written down of them.

mod actions;
pub mod operator;
mod record;
mod runner;

pub use record::{AcceptedRevision, FaultRecord, FaultRecords, Leave, LeaveCause};
pub use runner::run_faults;
