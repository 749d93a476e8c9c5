//! How a node learns of changes of the configuration, and how sure it is that it has the newest.
//!
//! The configuration is one document in the store, owned by the platform's operator. A node has it in force
//! once it has the document ([`Node::offer_configuration`]); of two documents the one with the greater
//! version stays. What the node owns of it stands in [`node::configuration`](crate::node).
//!
//! **Who watches the store** (`watchers.rs`). In a small fleet each node watches for itself. In a
//! large one a node watches while fewer than four of the peers that it links to have confirmed its
//! version within 1.2 s; the others fetch a new document from a peer that has it (`peers.rs`).
//!
//! **When a configuration is confirmed.** The store answered a watch or a read, or answered a
//! renewal while a watch was pending that would have reported a change: here, or at a peer that
//! reports it with its age. A confirmation rests on the watch, which the store may lose without a
//! word; it is good for a 404 and for choosing watchers, and no more.
//!
//! **When it is read.** The store was asked for the document itself and answered, linearizably. That holds
//! whatever was lost, so keys are honoured by the age of the last read, here or at a peer
//! (`revocations.rs`).
//!
//! **When a watch is suspected** ([`Node::suspect_watch`]), and so given up and begun anew by a
//! read: a renewal of the registration or a read of the registry failed, the process was paused, or
//! a peer has had a newer version for 700 ms.
//!
//! **Why.** Each call to the store is paid for, and a change must be in force within two seconds.
//! Watches of 25 s that are suspected when something else fails took 127 calls of twelve nodes on a
//! calm day, asking anew every 4 s took 245; a few watchers took 278 calls of a large site, each
//! node for itself 560. Ways weighed: docs/DESIGN.md, "Ways weighed".
//!
//! [`Node::offer_configuration`]: crate::node::Node::offer_configuration
//! [`Node::suspect_watch`]: crate::node::Node::suspect_watch

mod peers;
mod revocations;
mod watch;
mod watchers;

pub use self::{
    peers::follow_peers_configuration, revocations::refresh_for_revocations,
    watch::follow_configuration,
};
