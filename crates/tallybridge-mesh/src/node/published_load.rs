//! Decides when a change of this node's load is sent to the nodes that link to it.
//!
//! The load is sent if the utilization has changed by more than 0.08 or the failure rate by more
//! than 0.1 since the last message, at most once per 4 ms for each linked node. A rise of the
//! failure rate by more than 0.1 is sent at once: a back end that fails fast looks idle and would
//! attract calls.
//!
//! The limit matters because a message from each node at each tick would make the number of messages
//! grow with the square of the fleet.

use std::time::Duration;

use tokio::time::Instant;

/// Minimum time between two messages, for each linked node.
const MIN_INTERVAL_PER_LINK: Duration = Duration::from_millis(4);
/// Change of the utilization (1 means all slots are busy) that is sent.
const UTILIZATION_THRESHOLD: f64 = 0.08;
/// Change of the failure rate (0 to 1) that is sent.
const FAILURE_RATE_THRESHOLD: f64 = 0.1;

/// The load that was last sent.
#[derive(Debug, Default)]
pub(super) struct PublishedLoad {
    utilization: f64,
    failure_rate: f64,
    sent_at: Option<Instant>,
}

impl PublishedLoad {
    /// Returns whether to send the load now, and if so records it as sent.
    pub(super) fn take_if_due(
        &mut self,
        utilization: f64,
        failure_rate: f64,
        link_count: u32,
        now: Instant,
    ) -> bool {
        let failure_rate_rose = failure_rate - self.failure_rate > FAILURE_RATE_THRESHOLD;
        let has_changed = (self.utilization - utilization).abs() > UTILIZATION_THRESHOLD
            || (self.failure_rate - failure_rate).abs() > FAILURE_RATE_THRESHOLD;
        let is_due = failure_rate_rose || (has_changed && !self.is_recent(link_count, now));
        if is_due {
            *self = Self {
                utilization,
                failure_rate,
                sent_at: Some(now),
            };
        }
        is_due
    }

    fn is_recent(&self, link_count: u32, now: Instant) -> bool {
        let min_interval = MIN_INTERVAL_PER_LINK * link_count;
        self.sent_at
            .is_some_and(|at| now.saturating_duration_since(at) < min_interval)
    }
}
