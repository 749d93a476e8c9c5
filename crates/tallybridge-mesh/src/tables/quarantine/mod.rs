//! Requests under which back ends end.
//!
//! A back end that ends without notice breaks off every call that it was handed. Each of these may be
//! the one that ended it, so each is a suspect ([`DispatchedCalls`]), known by a digest of what it asks for
//! ([`CallContent`]). One that is a suspect of three crashes, with no run that was answered in between, is
//! held back everywhere for a time ([`Quarantine`]).
//! [docs/design/quarantine.md](../../../docs/design/quarantine.md) weighs the ways.

mod digest;
mod dispatched;
mod recent_answers;
mod records;

pub use digest::{CallContent, RequestDigests};
pub use dispatched::{DispatchEnd, DispatchId, DispatchedCalls, InterruptedCalls};
pub use records::{CRASHES_TO_QUARANTINE, Quarantine};
