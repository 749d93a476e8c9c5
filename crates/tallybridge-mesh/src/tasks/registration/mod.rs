//! Keeps this node in the registry of the store, from which nodes learn of each other.
//!
//! In a small fleet every node registers itself under a lease of its own (`own`). In a large fleet,
//! in which a few nodes watch the store for all ([`configuration`](super::configuration)), only those
//! need a lease; the others request one of them to keep their records (`by_peer`). A registrar writes
//! many records in one call and renews one lease for all of them, so the calls to the store grow with
//! the number of watchers and not with the fleet.
//!
//! A node that finds no registrar registers itself. An expired lease takes no node out of service:
//! peers judge each other by their links.

mod by_peer;
mod own;

use std::{sync::Arc, time::Duration};

use tokio::time::timeout;

use self::{by_peer::stay_registered_by_peers, own::register_and_renew};
use super::backoff::{Backoff, count_store_call};
use crate::node::Node;

/// Timeout of the call that ends the registration when the node stops.
const UNREGISTER_TIMEOUT: Duration = Duration::from_millis(200);

/// Maintains the registration for as long as the process runs.
pub async fn maintain_registration(node: Arc<Node>) {
    // Earlier records show how many slots the back ends of this node's service have.
    node.first_registry_read().await;
    let mut backoff = Backoff::new();
    loop {
        stay_registered_by_peers(&node).await;
        let reason = match register_and_renew(&node, &mut backoff).await {
            Err(reason) => reason,
            Ok(never) => match never {},
        };
        tracing::warn!(%reason, "registration failed or expired; registering again");
        node.delegates_lost();
        node.suspect_watch();
        node.suspect_registry();
        backoff.wait().await;
    }
}

/// Ends the registration, if this node has one of its own. Waits for the store for a bounded time.
///
/// A registrar leaves its lease to expire, so that its delegates stay in the registry until another
/// node registers them.
pub async fn unregister(node: &Node) {
    if node.has_delegates() {
        return;
    }
    if let Some(lease) = node.lease() {
        count_store_call(node);
        // If the call fails, the lease expires later.
        let _ = timeout(UNREGISTER_TIMEOUT, node.platform.end_lease(lease)).await;
    }
}
