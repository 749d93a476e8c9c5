//! What both programs bound work by: a queue for slots that is ordered by criticality
//! ([`AdmissionQueue`]), and a budget of retries in proportion to first attempts ([`Budget`]).
//!
//! Each type is plain state that its owner guards: it does no I/O, starts no task and takes the time as an
//! argument. It relies on `tallybridge-core` for the classes of criticality, and on nothing else.

mod budget;
mod queue;

pub use budget::{Budget, BudgetSettings};
pub use queue::{AdmissionQueue, Offer, QueueSettings, Ticket, Waiting};
