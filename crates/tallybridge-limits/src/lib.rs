//! Limits on work: [`AdmissionQueue`] orders calls for slots by criticality, and [`Budget`] bounds
//! retries in proportion to first attempts.
//!
//! The types are plain state without I/O, tasks or locks. Callers synchronize access and pass the
//! current time as an argument.

mod budget;
mod queue;

pub use budget::{Budget, BudgetSettings};
pub use queue::{AdmissionQueue, Offer, QueueSettings, QueuedCall, Ticket};
