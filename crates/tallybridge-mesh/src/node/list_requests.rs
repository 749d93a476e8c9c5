//! Limits how often this node asks peers for their lists of known nodes.
//!
//! A node requests the lists of the first three peers; while it is not registered, it requests one
//! further list each 500 ms. Lists from peers replace the registry while the store is down. A list
//! grows with the fleet, so requesting it over every link would dominate the control traffic of a
//! large fleet.

use std::time::Duration;

use tokio::time::Instant;

const UNCONDITIONAL_REQUESTS: u32 = 3;
/// Minimum time between further requests while this node is not registered.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(500);

/// Counts the list requests of one node.
#[derive(Debug, Default)]
pub(super) struct ListRequests {
    count: u32,
    last_at: Option<Instant>,
}

impl ListRequests {
    /// Returns whether to send a request now, and if so records it as sent.
    pub(super) fn take_if_due(&mut self, is_registered: bool, now: Instant) -> bool {
        let is_due =
            self.count < UNCONDITIONAL_REQUESTS || (!is_registered && !self.is_recent(now));
        if is_due {
            self.count += 1;
            self.last_at = Some(now);
        }
        is_due
    }

    fn is_recent(&self, now: Instant) -> bool {
        self.last_at
            .is_some_and(|at| now.saturating_duration_since(at) < MIN_REQUEST_INTERVAL)
    }
}
