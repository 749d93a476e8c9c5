//! What wakes the tasks that run beside requests.
//!
//! A [`Notify`] wakes one task and keeps one notification while nobody waits. A [`watch`] reaches all its
//! receivers, each of which sees the last value only.

use tokio::sync::{Notify, watch};

use crate::tables::LinkRequest;

/// The signals of one node, each with what it wakes.
#[derive(Debug)]
pub(super) struct Signals {
    /// The status is to be sent: wakes the sender of each link that a peer opened
    /// ([`crate::listener::peers`]). The value counts.
    pub(super) status: watch::Sender<u64>,
    /// The store confirmed the configuration: wakes the same senders. The value counts.
    pub(super) confirmations: watch::Sender<u64>,
    /// Links that are to be opened: wakes [`crate::tasks::links`].
    pub(super) link_requests: watch::Sender<Vec<LinkRequest>>,
    /// The back end is to be verified: wakes [`crate::tasks::health`].
    pub(super) verify: Notify,
    /// The back end has started again under its id: wakes the calls that run at the start before. The value
    /// counts.
    pub(super) restarts: watch::Sender<u64>,
    /// A call lost its connection to the back end: wakes [`crate::tasks::crash_detection`].
    pub(super) call_lost: Notify,
    /// A crash of the own back end added to the snapshot: wakes [`crate::tasks::stored_quarantine`].
    pub(super) quarantine_grew: Notify,
    /// What this node registers of itself has changed: wakes [`crate::tasks::registration`].
    pub(super) record_changed: Notify,
    /// The process runs again after a pause: wakes [`crate::tasks::registration`], whose lease may be over.
    pub(super) resumed: Notify,
    /// This node began to watch the store: wakes [`crate::tasks::registration`], as a watcher
    /// renews its lease more often.
    pub(super) became_watcher: Notify,
    /// The pending watch of the store may never be answered: wakes [`crate::tasks::configuration`].
    pub(super) watch_suspected: Notify,
    /// A peer has a newer configuration: wakes [`crate::tasks::configuration`].
    pub(super) peer_ahead: Notify,
}

impl Signals {
    pub(super) fn new() -> Self {
        Self {
            status: watch::Sender::new(0),
            confirmations: watch::Sender::new(0),
            link_requests: watch::Sender::new(Vec::new()),
            verify: Notify::new(),
            restarts: watch::Sender::new(0),
            call_lost: Notify::new(),
            quarantine_grew: Notify::new(),
            record_changed: Notify::new(),
            resumed: Notify::new(),
            became_watcher: Notify::new(),
            watch_suspected: Notify::new(),
            peer_ahead: Notify::new(),
        }
    }
}
