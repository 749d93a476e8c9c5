//! Counters of one node, for its metrics. They start at zero with the process and only grow.

use std::sync::atomic::{AtomicU64, Ordering};

use tallybridge_core::ErrorKind;

/// What happened at a node since its start.
#[derive(Debug, Default)]
pub struct Counters {
    /// Requests that were read.
    pub requests: AtomicU64,
    /// Requests answered by a back end.
    pub answered: AtomicU64,
    /// Requests refused or failed by tallybridge.
    pub refused: AtomicU64,
    /// Retries that were forwarded.
    pub retries: AtomicU64,
    /// Calls executed at the back end beside the node.
    pub executed: AtomicU64,
    /// Connections opened to the back end.
    pub connections: AtomicU64,
    /// Health checks of the back end.
    pub health_checks: AtomicU64,
    /// Calls to the platform's store.
    pub store_calls: AtomicU64,
    /// Requests for tokens to the owner of a tenant's quota.
    pub quota_asks: AtomicU64,
    /// Requests refused because their key is missing or unknown.
    pub unknown_keys: AtomicU64,
    /// Requests refused because their tenant is at its limit.
    pub over_quota: AtomicU64,
    /// Requests with a key refused because the configuration may be too old to trust the key.
    pub stale_configuration: AtomicU64,
    /// Crashes of the back end beside the node.
    pub crashes: AtomicU64,
    /// Requests refused because they are quarantined.
    pub quarantined: AtomicU64,
}

impl Counters {
    /// Counts a request that was refused at its entry.
    pub fn count_refused(&self, kind: ErrorKind) {
        self.refused.fetch_add(1, Ordering::Relaxed);
        let of_kind = match kind {
            ErrorKind::UnknownKey => &self.unknown_keys,
            ErrorKind::OverQuota => &self.over_quota,
            ErrorKind::StaleConfiguration => &self.stale_configuration,
            ErrorKind::Quarantined => &self.quarantined,
            _ => return,
        };
        of_kind.fetch_add(1, Ordering::Relaxed);
    }
}
