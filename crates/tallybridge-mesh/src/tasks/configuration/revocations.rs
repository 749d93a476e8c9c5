//! Regular reads of the configuration, which show that no key has been revoked since.

use std::{sync::Arc, time::Duration};

use rand::Rng;
use tokio::time::sleep;

use super::watch::read_configuration;
use crate::node::Node;

/// Interval between reads as a fraction of `revoke_within_ms`. It leaves time for three failed reads
/// before keys are refused.
const READ_INTERVAL_FRACTION: f64 = 0.2;
/// Time between reads if `revoke_within_ms` is not set.
const DEFAULT_READ_INTERVAL: Duration = Duration::from_secs(2);
const READ_RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// Reads the configuration regularly while this node watches the store and requests carry keys.
///
/// The store may drop a watch without an error, and a dropped watch never reports a revoked key.
/// The node skips a read if a peer has read the configuration recently.
pub async fn refresh_for_revocations(node: Arc<Node>) {
    let max_revocation_ms = node.settings.tenants.revoke_within_ms;
    let interval = max_revocation_ms.map_or(DEFAULT_READ_INTERVAL, |ms| {
        Duration::from_millis(ms).mul_f64(READ_INTERVAL_FRACTION)
    });
    loop {
        let jitter_factor = rand::rng().random_range(0.5..1.0);
        sleep(interval.mul_f64(jitter_factor)).await;
        while is_read_due(&node, interval) {
            match read_configuration(&node).await {
                Ok(_) => break,
                Err(reason) => tracing::debug!(%reason, "cannot read the configuration; retrying"),
            }
            sleep(READ_RETRY_INTERVAL).await;
        }
    }
}

fn is_read_due(node: &Node, interval: Duration) -> bool {
    let is_stale = || node.read_age().is_none_or(|age| age >= interval);
    node.is_watcher() && node.has_tenants() && is_stale()
}
