//! What a run was worth: goodput against the ideal, recovery and added latency.

mod ideal;
mod latency;
mod policy_measure;
mod recovery;
mod summary;
mod table;

pub use ideal::{Ideal, IdealWindow};
pub use latency::{AddedLatency, new_histogram};
pub use policy_measure::{Counts, PolicyMeasure};
pub use recovery::{recovery_seconds, strain_end_seconds};
pub use summary::{AddedLatencySummary, PolicySummary, Summary, ViolationCounts};
pub use table::print_table;
