//! What bounds the work that a back end is given: an adaptive concurrency limit, an admission
//! queue ordered by criticality, early refusal at the entry, and the retry allowance and budget.
//!
//! Every type is a part of a table that one task owns: it does no I/O, starts no task and is told
//! the time.

pub mod limit;
pub mod queue;
pub mod retry;
pub mod slots;

pub use limit::{ConcurrencyLimit, LimitSettings, Ramp, Sample, SampleResult};
pub use queue::{
    AdmissionLevel, AdmissionQueue, EarlyRefusal, LevelSettings, Offer, QueueSettings, Ticket,
    Waiting,
};
pub use retry::{Allowance, Backoff, Budget, BudgetSettings};
pub use slots::SlotShare;
