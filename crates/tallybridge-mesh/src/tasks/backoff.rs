//! What the tasks share that call the platform's store: waits after a failure, and the count of calls.

use std::{sync::atomic::Ordering, time::Duration};

use rand::Rng;
use tokio::time::sleep;

use crate::node::Node;

/// Wait after the first call that failed. Origin not recorded.
const RETRY_MIN: Duration = Duration::from_millis(150);
/// Longest wait after a call that failed. Origin not recorded.
const RETRY_MAX: Duration = Duration::from_millis(1200);

/// Waits that double with each failure in a row, with a jitter of 0.6 to 1.4.
pub(super) struct Backoff(Duration);

impl Backoff {
    pub(super) const fn new() -> Self {
        Self(RETRY_MIN)
    }

    pub(super) async fn wait(&mut self) {
        let jitter = rand::rng().random_range(0.6..1.4);
        sleep(self.0.mul_f64(jitter)).await;
        self.0 = (self.0 * 2).min(RETRY_MAX);
    }
}

/// Counts a call to the store in the node's metrics; each caller does so before it calls.
pub(super) fn count_store_call(node: &Node) {
    node.counters.store_calls.fetch_add(1, Ordering::Relaxed);
}
