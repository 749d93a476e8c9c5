//! Counters of one node, exported as metrics. They start at zero with the process and only grow.

use std::sync::atomic::{AtomicU64, Ordering};

use tallybridge_core::ErrorKind;

/// Event counts of one node since its process started.
#[derive(Debug, Default)]
pub struct Counters {
    /// Requests received at this entry.
    pub requests: AtomicU64,
    /// Requests answered by a back end.
    pub answered: AtomicU64,
    /// Requests that ended with an error of tallybridge instead of an answer.
    pub refused: AtomicU64,
    /// Retries forwarded to an executor.
    pub retries: AtomicU64,
    /// Calls executed at the back end beside the node.
    pub executed: AtomicU64,
    /// Connections opened to the back end.
    pub connections: AtomicU64,
    /// Health checks sent to the back end.
    pub health_checks: AtomicU64,
    /// Calls to the platform's store.
    pub store_calls: AtomicU64,
    /// Requests for tokens sent to quota owners.
    pub quota_asks: AtomicU64,
    /// Requests refused because their key is missing or unknown.
    pub unknown_keys: AtomicU64,
    /// Requests refused because their tenant is at its limit.
    pub over_quota: AtomicU64,
    /// Requests refused because the configuration is too old to trust their key.
    pub stale_configuration: AtomicU64,
    /// Crashes of the back end that interrupted at least one call.
    pub crashes: AtomicU64,
    /// Calls refused because of the rate limit that the back end beside the node announces.
    pub rate_limited: AtomicU64,
    /// Requests refused because the node has no memory for them.
    pub out_of_memory: AtomicU64,
    /// Requests refused because they are quarantined.
    pub quarantined: AtomicU64,
}

impl Counters {
    /// Counts a request refused at its entry, in total and by kind.
    pub fn count_refused(&self, kind: ErrorKind) {
        self.refused.fetch_add(1, Ordering::Relaxed);
        let counter = match kind {
            ErrorKind::UnknownKey => &self.unknown_keys,
            ErrorKind::OverQuota => &self.over_quota,
            ErrorKind::StaleConfiguration => &self.stale_configuration,
            ErrorKind::Quarantined => &self.quarantined,
            _ => return,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }
}
