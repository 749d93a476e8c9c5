//! What both programs bound work by: a queue for slots that is ordered by criticality, and a budget of
//! retries in proportion to first attempts.
//!
//! Each type is part of a table that one task owns: it does no I/O, starts no task and is told the time.

mod budget;
mod queue;

pub use budget::{Budget, BudgetSettings};
pub use queue::{AdmissionQueue, Offer, QueueSettings, Ticket, Waiting};
