//! Requests under which back ends end.
//!
//! A back end that ends without notice breaks off every call that it was handed. Each of these may be
//! the one that ended it, so each is a suspect ([`exposed`]), known by a digest of what it asks for
//! ([`digest`]). One that is a suspect of three crashes, with no run that was answered in between, is
//! held back everywhere for a time ([`quarantine`]).
//! [docs/design/quarantine.md](../../../docs/design/quarantine.md) weighs the ways.

pub mod digest;
pub mod exposed;
pub mod quarantine;
mod recent;

pub use digest::{CallContent, RequestDigest, RequestDigests};
pub use exposed::{ExposedCalls, ExposureEnd, ExposureId};
pub use quarantine::{CrashReport, HeldRequest, Quarantine};
