//! This node's registration, and whether the registry of nodes was read.

use std::sync::atomic::Ordering;

use super::Node;

impl Node {
    /// Waits until what the node registers of itself has changed.
    pub async fn record_changed(&self) {
        self.signals.record_changed.notified().await;
    }

    /// The registry was read: the nodes that were in it are known.
    pub fn registry_read(&self) {
        self.has_read_registry.store(true, Ordering::Relaxed);
    }

    /// Whether the registry was read since the start.
    #[must_use]
    pub fn has_read_registry(&self) -> bool {
        self.has_read_registry.load(Ordering::Relaxed)
    }

    /// The node is registered under a lease.
    pub fn registered(&self, lease: u64) {
        self.lease.store(lease, Ordering::Relaxed);
    }

    /// The lease of the registration.
    #[must_use]
    pub fn lease(&self) -> Option<u64> {
        let lease = self.lease.load(Ordering::Relaxed);
        (lease != 0).then_some(lease)
    }
}
