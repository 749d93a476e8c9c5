//! The node's role as a watcher of the store, and the state of its pending watch request.
//!
//! [`tasks::configuration`](crate::tasks::configuration) decides which nodes watch the store and
//! when a watch is suspected.

use std::sync::atomic::{AtomicBool, Ordering};

use super::Node;
use crate::clock::BootInstant;

/// Counts of nodes by which this node decides whether to watch the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchView {
    /// Known nodes, including this one.
    pub known: usize,
    /// Nodes to which this node keeps or tries to open a link.
    pub wanted: usize,
    /// Wanted nodes that are reachable.
    pub reached: usize,
    /// Wanted nodes that reported a confirmation of this node's configuration version, or of a newer
    /// one, within the last 1.2 s.
    pub confirming: usize,
}

/// Guard of the watcher role. Dropping it ends the role.
#[derive(Debug)]
pub struct WatcherRole<'a>(&'a AtomicBool);

impl Drop for WatcherRole<'_> {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Relaxed);
    }
}

/// Guard of a watch request that waits for the store's answer.
#[derive(Debug)]
pub struct PendingWatch<'a>(&'a AtomicBool);

impl Drop for PendingWatch<'_> {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Relaxed);
    }
}

impl Node {
    /// Returns the current counts of known, reachable and confirming nodes.
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

    /// Makes this node a watcher of the store until the returned guard is dropped.
    #[must_use]
    pub fn start_watching(&self) -> WatcherRole<'_> {
        self.is_watcher.store(true, Ordering::Relaxed);
        self.signals.became_watcher.notify_one();
        WatcherRole(&self.is_watcher)
    }

    /// Returns whether this node watches the store.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        self.is_watcher.load(Ordering::Relaxed)
    }

    /// Waits until this node begins to watch the store.
    pub async fn became_watcher(&self) {
        self.signals.became_watcher.notified().await;
    }

    /// Marks a watch request as pending until the returned guard is dropped.
    #[must_use]
    pub fn track_pending_watch(&self) -> PendingWatch<'_> {
        self.has_pending_watch.store(true, Ordering::Relaxed);
        PendingWatch(&self.has_pending_watch)
    }

    /// Records the store's answer to another call, sent at `requested_at`. If a watch is pending,
    /// the answer confirms the configuration, since the watch would have reported a change.
    pub fn confirm_by_pending_watch(&self, requested_at: BootInstant) {
        if self.has_pending_watch.load(Ordering::Relaxed) {
            self.configuration_confirmed(requested_at);
        }
    }

    /// Wakes the task of the pending watch, if there is one, because the store may have dropped it.
    pub fn suspect_watch(&self) {
        if self.has_pending_watch.load(Ordering::Relaxed) {
            self.signals
                .watch_suspected
                .send_modify(|count| *count += 1);
        }
    }

    /// Waits until the store is suspected to have dropped the pending watch.
    pub async fn watch_suspected(&self) {
        let mut suspicions = self.signals.watch_suspected.subscribe();
        // Fails only if the sender is dropped, and this node owns the sender.
        let _ = suspicions.changed().await;
    }
}
