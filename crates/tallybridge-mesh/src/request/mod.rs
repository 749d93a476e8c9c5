//! The way of a request, from its entry to the back end that runs it.
//!
//! | step | module |
//! |---|---|
//! | routed, admitted or refused, answered | [`entry`] |
//! | the tenant of its key, and that tenant's limit | `credentials`, [`quota`] |
//! | sent to executors: retries, reroutes, giving up | [`forward`] |
//! | a slot, and the exchange with the back end | [`execute`] |
//!
//! The steps hold no state of their own: they read and write the tables of [`crate::node::Node`]. They
//! are called by [`crate::listener`], the entry for callers' requests and the executor for peers' calls.

mod credentials;
pub mod entry;
pub mod execute;
pub mod forward;
pub mod quota;
