//! What bounds the work of a back end of the standalone program, beside what both programs share in
//! `tallybridge-limits`: an adaptive concurrency limit, the least class that is admitted, refusal at the
//! entry by what executors told, the retry allowance of one request, and the wait before a retry.
//!
//! Each type is part of a table that one task owns: it does no I/O, starts no task and is told the time.

mod allowance;
mod backoff;
mod early_refusal;
mod limit;
mod threshold;

pub use allowance::Allowance;
pub use backoff::Backoff;
pub use early_refusal::EarlyRefusal;
pub use limit::{ConcurrencyLimit, LimitSettings, Ramp, Sample, SampleResult};
pub use threshold::{AdmissionThreshold, ThresholdSettings};
