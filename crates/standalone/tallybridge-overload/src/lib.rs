//! Limits on the work of a back end in the standalone program, in addition to those that both
//! programs share in `tallybridge-limits`.
//!
//! Provides an adaptive concurrency limit, the admission level of a back end, refusal of calls at
//! their entry, the retry allowance of a request and the backoff between retries. The types do no
//! I/O and start no tasks; callers pass the current time.

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
