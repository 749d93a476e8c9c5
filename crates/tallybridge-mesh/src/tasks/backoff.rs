//! Waits between calls of the platform's store that failed, and the count of all calls.

use std::{sync::atomic::Ordering, time::Duration};

use rand::Rng;
use tokio::time::sleep;

use crate::node::Node;

/// Waits after a call that failed.
const RETRY_MIN: Duration = Duration::from_millis(150);
const RETRY_MAX: Duration = Duration::from_millis(1200);

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

pub(super) fn count(node: &Node) {
    node.counters.store_calls.fetch_add(1, Ordering::Relaxed);
}
