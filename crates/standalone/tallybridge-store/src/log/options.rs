//! Options of the configuration log.

use super::snapshot::SNAPSHOT_INTERVAL;
use crate::backoff::Backoff;

/// Request sizes and retry delays of a [`ConfigurationLog`](super::ConfigurationLog).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogOptions {
    /// Maximum number of records read with one request.
    pub page_limit: usize,
    /// Number of revisions after which the snapshot is replaced.
    pub snapshot_interval: u64,
    /// Delays between retries of an append.
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
