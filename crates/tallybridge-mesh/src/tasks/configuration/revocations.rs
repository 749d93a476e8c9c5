//! Reads of the configuration by which nodes know that no key was removed since.

use std::{sync::Arc, time::Duration};

use rand::Rng;
use tokio::time::sleep;

use super::watch::read;
use crate::node::Node;

/// Part of `revoke_within_ms` after which the configuration is read anew. A fifth leaves room for
/// three reads that fail before a key is refused for it. Origin of the figure not recorded.
const READ_PART: f64 = 0.2;
/// Time between reads where settings give no `revoke_within_ms`. Origin not recorded.
const READ_INTERVAL: Duration = Duration::from_secs(2);
/// Wait after a read that failed. Origin not recorded.
const READ_RETRY: Duration = Duration::from_millis(400);

/// Reads the configuration now and then for as long as this node watches the store and requests carry keys,
/// so that it and its peers know that no key was removed since: a watch that is lost in silence reports no
/// removal, a read does. What a peer has read meanwhile need not be read again.
pub async fn refresh_for_revocations(node: Arc<Node>) {
    let within = node.settings.tenants.revoke_within_ms;
    let interval = within.map_or(READ_INTERVAL, |ms| {
        Duration::from_millis(ms).mul_f64(READ_PART)
    });
    loop {
        let jitter = rand::rng().random_range(0.5..1.0);
        sleep(interval.mul_f64(jitter)).await;
        while is_read_due(&node, interval) {
            match read(&node).await {
                Ok(_) => break,
                Err(reason) => tracing::debug!(%reason, "configuration can't be read"),
            }
            sleep(READ_RETRY).await;
        }
    }
}

fn is_read_due(node: &Node, interval: Duration) -> bool {
    let is_old = || node.read_age().is_none_or(|age| age >= interval);
    node.is_watcher() && node.has_tenants() && is_old()
}
