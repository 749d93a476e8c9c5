//! What the tasks share that call the platform's store: waits after a failure, and the count of calls.

use std::{ops::Range, sync::atomic::Ordering, time::Duration};

use rand::Rng;
use tokio::time::sleep;

use crate::node::Node;

/// Wait after the first call that failed. Origin not recorded.
const RETRY_MIN: Duration = Duration::from_millis(150);
/// Longest wait after a call that failed. Origin not recorded.
const RETRY_MAX: Duration = Duration::from_millis(1200);

/// Factors by which a wait after a failure varies, so that nodes that failed together don't call
/// again together. Origin not recorded.
const JITTER: Range<f64> = 0.6..1.4;

/// Waits that double with each failure in a row.
pub(super) struct Backoff(Duration);

impl Backoff {
    pub(super) const fn new() -> Self {
        Self(RETRY_MIN)
    }

    pub(super) async fn wait(&mut self) {
        sleep(jittered(self.0)).await;
        self.0 = (self.0 * 2).min(RETRY_MAX);
    }
}

/// A wait after a failure, varied by [`JITTER`].
pub(super) fn jittered(wait: Duration) -> Duration {
    wait.mul_f64(rand::rng().random_range(JITTER))
}

/// Counts a call to the store in the node's metrics; each caller does so before it calls.
pub(super) fn count_store_call(node: &Node) {
    node.counters.store_calls.fetch_add(1, Ordering::Relaxed);
}
