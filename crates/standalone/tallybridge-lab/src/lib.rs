//! Load and experiment tool: deploys a scenario on loopback addresses, drives load, injects
//! faults, checks the guarantees from what callers and back ends recorded, and measures.

pub mod checker;
pub mod cli;
pub mod clock;
pub mod fault;
pub mod load;
pub mod measure;
pub mod policy;
pub mod process;
pub mod report;
pub mod run;
pub mod scenario;
pub mod standin;
