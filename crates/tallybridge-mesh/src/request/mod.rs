//! Request handling, from the entry of a request to the back end that runs it.
//!
//! | step | module |
//! |---|---|
//! | routing, admission and the answer to the caller | [`entry`] |
//! | authentication and rate limits of tenants | `credentials`, [`quota`] |
//! | attempts at executors: retries and reroutes | [`forward`] |
//! | wait for a slot and exchange with the back end | [`execute`] |
//!
//! The modules keep no state of their own; they use the tables of [`crate::node::Node`].
//! [`crate::listener`] calls the entry for callers' requests and the executor for peers' calls.

use std::time::Duration;

mod credentials;
pub mod entry;
pub mod execute;
pub mod forward;
pub mod quota;

/// `Retry-After` of a request or a call for which a node has no memory. What holds the memory takes seconds to
/// be served or closed.
pub(crate) const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(1000);
