//! Whether this node watches the store, and what is known of the watch that waits.
//!
//! The rules of who watches and when a watch is suspected stand in
//! [`tasks::configuration`](crate::tasks::configuration).

use std::sync::atomic::{AtomicBool, Ordering};

use super::Node;
use crate::clock::BootInstant;

/// Who watches the store, as a node sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchView {
    /// Nodes that it knows of, itself included.
    pub known: usize,
    /// Nodes that it links to, or tries to.
    pub wanted: usize,
    /// Those of them that it reaches.
    pub reached: usize,
    /// Those of them to which the store confirmed its version, or a newer one, within 1.2 s.
    pub confirming: usize,
}

/// The node watches the store until this is dropped.
#[derive(Debug)]
pub struct WatcherRole<'a>(&'a AtomicBool);

impl Drop for WatcherRole<'_> {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Relaxed);
    }
}

/// A watch waits for the store's answer until this is dropped.
#[derive(Debug)]
pub struct PendingWatch<'a>(&'a AtomicBool);

impl Drop for PendingWatch<'_> {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Relaxed);
    }
}

impl Node {
    /// Who watches the store, as far as this node sees.
    #[must_use]
    pub fn watch_view(&self) -> WatchView {
        let tables = self.tables();
        WatchView {
            known: tables.peers.known_size(),
            wanted: tables.peers.subset_size() - 1,
            reached: tables.peers.reached(),
            confirming: tables
                .watchers
                .count_confirming(tables.configuration.version(), BootInstant::now()),
        }
    }

    /// This node watches the store from now on.
    #[must_use]
    pub fn start_watching(&self) -> WatcherRole<'_> {
        self.is_watcher.store(true, Ordering::Relaxed);
        self.signals.became_watcher.notify_one();
        WatcherRole(&self.is_watcher)
    }

    /// Whether this node watches the store.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        self.is_watcher.load(Ordering::Relaxed)
    }

    /// Waits until this node begins to watch the store.
    pub async fn became_watcher(&self) {
        self.signals.became_watcher.notified().await;
    }

    /// A watch waits for the store's answer from now on.
    #[must_use]
    pub fn watch_pending(&self) -> PendingWatch<'_> {
        self.watch_pending.store(true, Ordering::Relaxed);
        PendingWatch(&self.watch_pending)
    }

    /// The store answered another call that was made at a time: a pending watch would have reported
    /// a change.
    pub fn confirm_by_pending_watch(&self, asked_at: BootInstant) {
        if self.watch_pending.load(Ordering::Relaxed) {
            self.configuration_confirmed(asked_at);
        }
    }

    /// Something shows that the pending watch, if there is one, may never be answered.
    pub fn suspect_watch(&self) {
        if self.watch_pending.load(Ordering::Relaxed) {
            self.signals.watch_suspected.notify_one();
        }
    }

    /// Waits until the pending watch is suspected.
    pub async fn watch_suspected(&self) {
        self.signals.watch_suspected.notified().await;
    }
}
