//! Work with the platform's store: the configuration, and the register of nodes.

mod configuration;
mod holds;
mod register;

use std::{sync::atomic::Ordering, time::Duration};

use rand::Rng;
use tokio::time::sleep;

pub use self::{
    configuration::{follow_configuration, follow_peers_configuration, read_for_keys},
    holds::keep_holds,
    register::{keep_registered, unregister},
};
use crate::node::Node;

/// Waits after a call that failed.
const RETRY_MIN: Duration = Duration::from_millis(150);
const RETRY_MAX: Duration = Duration::from_millis(1200);

struct Backoff(Duration);

impl Backoff {
    const fn new() -> Self {
        Self(RETRY_MIN)
    }

    async fn wait(&mut self) {
        let jitter = rand::rng().random_range(0.6..1.4);
        sleep(self.0.mul_f64(jitter)).await;
        self.0 = (self.0 * 2).min(RETRY_MAX);
    }
}

fn count(node: &Node) {
    node.counters.store_calls.fetch_add(1, Ordering::Relaxed);
}
