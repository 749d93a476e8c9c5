//! How often the store is asked.

use std::time::Duration;

/// Times of the nodes' work with the store.
///
/// At the design size, 920 nodes in 6 zones, the requests a minute for the configuration are
///
/// - looks: 6 zones × 60 s / `look_spacing` × 2 requests = 144,
/// - watches: 12 holders × 60 s / `watch_wait` = 36, and 12 for each change (1,400 changes a day
///   are one a minute),
/// - renewals: 12 holders × 60 s × 3 / `duty_ttl` = 72,
///
/// about 270 in all with the watchers' checks, whatever the number of nodes. A node that starts
/// adds 2 requests when no member has a configuration, and one look. When the whole fleet starts at
/// once, the first looks come to 6 zones × 2 requests / `succession_spacing`, 24 a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreTimes {
    /// How long a fresh node waits for a member that has a configuration.
    pub first_wait: Duration,
    /// Mean time between two looks at the duties by all nodes of a zone together.
    pub look_spacing: Duration,
    /// Shortest mean time between two looks by one node.
    pub shortest_look: Duration,
    /// Mean time between two looks by all nodes of a zone together when they start, or hear that a
    /// watcher is gone.
    pub succession_spacing: Duration,
    /// Longest time that one watch waits for a change.
    pub watch_wait: Duration,
    /// Life of a watcher's lease without renewal.
    pub duty_ttl: Duration,
    /// Upper bound of the first wait after the store failed; it doubles up to `longest_retry`.
    pub first_retry: Duration,
    /// Upper bound of every such wait.
    pub longest_retry: Duration,
}

impl Default for StoreTimes {
    fn default() -> Self {
        Self {
            first_wait: Duration::from_secs(2),
            look_spacing: Duration::from_secs(5),
            shortest_look: Duration::from_secs(20),
            succession_spacing: Duration::from_millis(500),
            watch_wait: Duration::from_secs(20),
            duty_ttl: Duration::from_secs(30),
            first_retry: Duration::from_millis(500),
            longest_retry: Duration::from_secs(5),
        }
    }
}
