//! Signals that wake the tasks of a node.
//!
//! A [`Notify`] wakes one task and stores one notification while no task waits. A [`watch`] wakes
//! all receivers, and each receiver sees only the latest value.

use tokio::sync::{Notify, watch};

use crate::tables::LinkRequest;

/// The signals of one node. Each field names the event and the task that waits for it.
#[derive(Debug)]
pub(super) struct Signals {
    /// The status needs to be sent: wakes the sender of each link that a peer opened
    /// ([`crate::listener::peers`]). The value is a counter.
    pub(super) status: watch::Sender<u64>,
    /// The store confirmed the configuration: wakes the same senders as `status`. The value is a
    /// counter.
    pub(super) confirmations: watch::Sender<u64>,
    /// Links need to be opened: wakes [`crate::tasks::links`].
    pub(super) link_requests: watch::Sender<Vec<LinkRequest>>,
    /// The back end needs to be verified: wakes [`crate::tasks::health`].
    pub(super) verification_due: Notify,
    /// The back end restarted under the same id: wakes the calls that run at the previous
    /// incarnation. The value is a counter.
    pub(super) restarts: watch::Sender<u64>,
    /// A call lost its connection to the back end: wakes [`crate::tasks::crash_detection`].
    pub(super) call_lost: Notify,
    /// A crash of this node's back end changed the quarantine snapshot: wakes
    /// [`crate::tasks::stored_quarantine`].
    pub(super) quarantine_grew: Notify,
    /// A peer reported crash counts that the store may lack: wakes the same task.
    pub(super) unstored_crashes_reported: Notify,
    /// The store holds further crash counts: wakes the calls that wait for that. The value is a
    /// counter.
    pub(super) crashes_stored: watch::Sender<u64>,
    /// The registered record of this node is out of date: wakes [`crate::tasks::registration`].
    pub(super) record_changed: Notify,
    /// A peer requested this node to keep its record in the registry: wakes the same task.
    pub(super) delegates_changed: Notify,
    /// A peer keeps this node's record in the registry: wakes the same task. The value is the name of
    /// the peer.
    pub(super) registered_by: watch::Sender<Option<String>>,
    /// This node may have missed changes of the registry: wakes [`crate::tasks::registry`].
    pub(super) registry_suspected: Notify,
    /// The registry was read for the first time: wakes the same task.
    pub(super) registry_read: Notify,
    /// The process resumed after a pause: wakes [`crate::tasks::registration`], since the lease may
    /// have expired.
    pub(super) resumed: Notify,
    /// This node began to watch the store: wakes [`crate::tasks::registration`], since a watcher
    /// renews its lease more often.
    pub(super) became_watcher: Notify,
    /// The pending watch of the store may never be answered: wakes [`crate::tasks::configuration`]. Not
    /// a [`Notify`], whose stored notification would cancel the next watch as well. The value is a
    /// counter.
    pub(super) watch_suspected: watch::Sender<u64>,
    /// The node stops and refuses new work: wakes the connections of callers
    /// ([`crate::listener::callers`]).
    pub(super) work_refused: watch::Sender<bool>,
    /// The node stops and closes the links that peers opened: wakes [`crate::listener::peers`].
    pub(super) accepted_links_close: watch::Sender<bool>,
    /// A peer has a newer configuration: wakes [`crate::tasks::configuration`].
    pub(super) peer_ahead: Notify,
}

impl Signals {
    pub(super) fn new() -> Self {
        Self {
            status: watch::Sender::new(0),
            confirmations: watch::Sender::new(0),
            link_requests: watch::Sender::new(Vec::new()),
            verification_due: Notify::new(),
            restarts: watch::Sender::new(0),
            call_lost: Notify::new(),
            quarantine_grew: Notify::new(),
            unstored_crashes_reported: Notify::new(),
            crashes_stored: watch::Sender::new(0),
            record_changed: Notify::new(),
            delegates_changed: Notify::new(),
            registered_by: watch::Sender::new(None),
            registry_suspected: Notify::new(),
            registry_read: Notify::new(),
            resumed: Notify::new(),
            became_watcher: Notify::new(),
            watch_suspected: watch::Sender::new(0),
            work_refused: watch::Sender::new(false),
            accepted_links_close: watch::Sender::new(false),
            peer_ahead: Notify::new(),
        }
    }
}
