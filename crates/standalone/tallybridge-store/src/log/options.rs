//! Options of the log.

use super::snapshot::SNAPSHOT_INTERVAL;
use crate::backoff::Backoff;

/// How a [`ConfigurationLog`](super::ConfigurationLog) works with the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogOptions {
    /// Records read with one request.
    pub page_limit: usize,
    /// Revisions after which the snapshot is replaced.
    pub snapshot_interval: u64,
    /// Waits between attempts of an append.
    pub backoff: Backoff,
}

impl Default for LogOptions {
    fn default() -> Self {
        Self {
            page_limit: 256,
            snapshot_interval: SNAPSHOT_INTERVAL,
            backoff: Backoff::default(),
        }
    }
}
