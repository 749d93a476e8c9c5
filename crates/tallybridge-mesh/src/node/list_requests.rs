//! Which peers are asked for the nodes that they know.
//!
//! **Rule.** The first three peers are asked; after them, while this node is not registered, one
//! each 500 ms.
//!
//! **Why.** The registry names the nodes, and peers replace it while the store is down. A list
//! grows with the fleet, so not every link carries one: lists from three peers alone, also before
//! the registration, took control at 300 machines from 685 to 48 kB/s a node (docs/MEASUREMENTS.md,
//! "Against the number of machines").

use std::time::Duration;

use tokio::time::Instant;

/// Peers that are asked in any case, as in the measurement above. The figure itself: Origin not recorded.
const ALWAYS_ASKED: u32 = 3;
/// Least time between further requests. Origin not recorded.
const PAUSE: Duration = Duration::from_millis(500);

/// The requests for lists that were made so far.
#[derive(Debug, Default)]
pub(super) struct ListRequests {
    count: u32,
    last_at: Option<Instant>,
}

impl ListRequests {
    /// Whether a peer is to be asked now. It is then taken as asked.
    pub(super) fn next(&mut self, is_registered: bool, now: Instant) -> bool {
        let is_due = self.count < ALWAYS_ASKED || (!is_registered && !self.is_recent(now));
        if is_due {
            self.count += 1;
            self.last_at = Some(now);
        }
        is_due
    }

    fn is_recent(&self, now: Instant) -> bool {
        self.last_at
            .is_some_and(|at| now.saturating_duration_since(at) < PAUSE)
    }
}
