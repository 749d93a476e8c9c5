//! Backoff and call counting for the tasks that call the platform's store.

use std::{ops::Range, sync::atomic::Ordering, time::Duration};

use rand::Rng;
use tokio::time::sleep;

use crate::node::Node;

const INITIAL_WAIT: Duration = Duration::from_millis(150);
const MAX_WAIT: Duration = Duration::from_millis(1200);

/// Range of the random factor on each wait, which keeps nodes that failed together from retrying
/// together.
const JITTER_FACTOR: Range<f64> = 0.6..1.4;

/// Exponential backoff with jitter.
pub(super) struct Backoff(Duration);

impl Backoff {
    pub(super) const fn new() -> Self {
        Self(INITIAL_WAIT)
    }

    pub(super) async fn wait(&mut self) {
        sleep(jittered(self.0)).await;
        self.0 = (self.0 * 2).min(MAX_WAIT);
    }
}

/// Returns `wait` multiplied by a random factor from [`JITTER_FACTOR`].
pub(super) fn jittered(wait: Duration) -> Duration {
    wait.mul_f64(rand::rng().random_range(JITTER_FACTOR))
}

/// Counts a call to the store in the node's metrics. Must be called before each call to the store.
pub(super) fn count_store_call(node: &Node) {
    node.counters.store_calls.fetch_add(1, Ordering::Relaxed);
}
