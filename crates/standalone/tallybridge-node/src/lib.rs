//! A node: takes calls in, chooses where they run, and guards the back end beside it.
//!
//! The [`tables`] hold what the node knows. The [`systems`] run over them, at each tick or when a
//! message asks for a decision. One [`actor`] owns the tables. The tasks in [`connections`] speak
//! to callers, peers, the back end and the platform; the [`path`] of a call is written straight
//! down in the task that carries it.

pub mod actor;
pub mod clock;
pub mod connections;
pub mod context;
pub mod path;
pub mod run;
pub mod systems;
pub mod tables;
pub mod telemetry;

pub use connections::store::StoreTimes;
pub use run::{NodeParts, RunningNode, run, start, start_core, start_with};
