//! Keeps the configuration of this node up to date with the store.
//!
//! In a small fleet every node watches the document in the store. In a large fleet a few nodes watch
//! it (`watchers`), and the others fetch new versions from peers (`peers`).
//!
//! - A configuration is *confirmed* when the store answers a watch or a read, or renews the
//!   registration while a watch is pending, at this node or at a peer. The store may drop a watch
//!   without an error, so a confirmation does not prove that the version is the newest.
//! - A configuration is *read* when the store returns it in a linearizable read. Revoked keys are
//!   judged by the age of the last read (`revocations`).
//! - A pending watch is *suspected* ([`Node::suspect_watch`]) and replaced after a failed renewal or
//!   registry read, after a pause of the process, or when a peer has had a newer version for
//!   longer than a watch may lag.
//!
//! [`Node::suspect_watch`]: crate::node::Node::suspect_watch

mod peers;
mod revocations;
mod watch;
mod watchers;

pub use self::{
    peers::follow_peers_configuration, revocations::refresh_for_revocations,
    watch::follow_configuration,
};
