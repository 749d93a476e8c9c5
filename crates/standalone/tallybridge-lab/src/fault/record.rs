//! What the lab writes down of the faults it made.

use serde::Serialize;
use tallybridge_config::Revision;

use crate::scenario::Fault;

/// One fault as it was made.
#[derive(Debug, Clone, Serialize)]
pub struct FaultRecord {
    /// The fault.
    pub fault: Fault,
    /// When it began, in microseconds since the Unix epoch.
    pub began_us: u64,
    /// When it was undone, in microseconds since the Unix epoch.
    pub ended_us: Option<u64>,
    /// Why it could not be made or undone.
    pub failure: Option<String>,
}

/// What made a back end leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaveCause {
    /// It says on its answers that it drains.
    Drain,
    /// Its node was stopped as planned.
    NodeStop,
}

/// A time during which a back end was leaving.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Leave {
    /// Back end, `service-number`.
    pub backend: String,
    /// Index of its machine, which is that of its entry.
    pub machine: usize,
    /// What made it leave.
    pub cause: LeaveCause,
    /// When it began, in microseconds since the Unix epoch.
    pub began_us: u64,
    /// When it ended, in microseconds since the Unix epoch.
    pub ended_us: Option<u64>,
}

/// A revision that the store accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct AcceptedRevision {
    /// Its number.
    pub revision: Revision,
    /// When the operator knew, in microseconds since the Unix epoch.
    pub accepted_us: u64,
}

/// All that is written down of the faults of one run.
#[derive(Debug, Clone, Default, Serialize)]
pub struct FaultRecords {
    /// Faults, in the order of their beginnings.
    pub faults: Vec<FaultRecord>,
    /// Leaving back ends.
    pub leaves: Vec<Leave>,
    /// Revisions accepted during the run.
    pub accepted: Vec<AcceptedRevision>,
}
