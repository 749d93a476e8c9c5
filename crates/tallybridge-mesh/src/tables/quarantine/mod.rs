//! Quarantine of requests that crash back ends, so that retries of one request cannot crash them one by one.
//!
//! A request that is a suspect of three crashes without an answered run in between is refused on all nodes
//! for 30 s, and after each further crash for 10 minutes, an hour and a day. Then one run tries the request
//! again, and an answer clears the request. If back ends of the service also crash for other reasons, up to
//! twelve crashes are needed. Suspects are the calls that lost their connections up to 10 s before the crash
//! and those cancelled up to 1 s before, except requests that the back end answered at least twice in the
//! last 10 s to 20 s.
//!
//! A request with two crashes runs again only once the store holds this count, or 30 s after the last crash.
//! Otherwise a loss of all nodes during an outage of the store would let it crash as many back ends again.
//!
//! The module owns only the state of one process. [`crate::node`] exchanges reports with other nodes,
//! [`crate::tasks::crash_detection`] detects crashes, and [`crate::tasks::stored_quarantine`] stores snapshots
//! of the table. [`BootInstant`](crate::clock::BootInstant) lets a quarantine elapse during a system suspend.

mod digest;
mod dispatched;
mod history;
mod recent_answers;
mod recent_events;
mod record;
mod suspects;
mod table;

pub use digest::{CallContent, RequestDigests};
pub use dispatched::{DispatchEnd, DispatchId, DispatchedCalls};
pub use record::CRASHES_TO_QUARANTINE;
pub use suspects::InterruptedCalls;
pub use table::{Quarantine, QuarantineCounts, UnstoredSuspect};
