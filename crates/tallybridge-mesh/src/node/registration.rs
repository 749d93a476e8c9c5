//! The registration of this node, and whether it has read the registry.

use std::sync::atomic::Ordering;

use super::Node;

impl Node {
    /// Waits until the registered record of this node needs to be updated.
    pub async fn record_changed(&self) {
        self.signals.record_changed.notified().await;
    }

    /// Records that the whole registry was read and its nodes were added to the peer table.
    pub fn registry_read(&self) {
        self.has_read_registry.store(true, Ordering::Relaxed);
    }

    /// Returns whether the registry was read since this process started.
    #[must_use]
    pub fn has_read_registry(&self) -> bool {
        self.has_read_registry.load(Ordering::Relaxed)
    }

    /// Records the lease under which this node is registered.
    pub fn registered(&self, lease: u64) {
        self.lease.store(lease, Ordering::Relaxed);
    }

    /// Returns the lease of the registration; `None` before this node is registered.
    #[must_use]
    pub fn lease(&self) -> Option<u64> {
        let lease = self.lease.load(Ordering::Relaxed);
        (lease != 0).then_some(lease)
    }
}
