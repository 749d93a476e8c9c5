//! Registration by a peer: requests a registrar to keep this node's record in the registry.
//!
//! The registration is soft state. The node repeats its request, and the registrar answers each one
//! once the registry holds the record under the registrar's lease. Without an answer, for whatever
//! reason, the node requests another registrar.

use std::{sync::Arc, time::Duration};

use rand::Rng;
use tokio::time::{Instant, sleep, timeout};

use crate::{link::Link, node::Node};

/// Time between requests to a registrar that answers.
const REQUEST_INTERVAL: Duration = Duration::from_secs(5);
/// Time for which an answer is awaited. A registrar collects requests before it writes them.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Time between checks for a registrar while there is none.
const SEARCH_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a node without a registrar registers itself. Covers the start of watchers in a
/// fleet that starts as a whole.
const MIN_SEARCH_TIME: Duration = Duration::from_secs(3);
/// Length that each reachable peer adds to the time over which the nodes without a registrar register
/// themselves.
const SEARCH_TIME_PER_PEER: Duration = Duration::from_millis(20);

/// Stays registered by peers for as long as this is possible, which it never is in a small fleet.
/// Returns when the node has to register itself.
pub(super) async fn stay_registered_by_peers(node: &Arc<Node>) {
    let mut failed: Option<String> = None;
    while let Some(registrar) = find_registrar(node, failed.as_deref()).await {
        while request_registration(node, &registrar).await {
            if wait_for_next_request(node, &registrar).await {
                node.set_has_registrar(false);
                return;
            }
        }
        tracing::info!(
            registrar = registrar.peer(),
            is_linked = registrar.is_open(),
            "registrar does not answer; requesting another one"
        );
        node.set_has_registrar(false);
        failed = Some(registrar.peer().to_owned());
    }
}

/// Returns whether this node needs a lease of its own.
fn needs_own_lease(node: &Node) -> bool {
    node.is_watcher() || !node.watch_view().shares_watches()
}

/// Waits for a registrar other than the one that failed. Returns `None` if this node has to register
/// itself.
async fn find_registrar(node: &Node, failed: Option<&str>) -> Option<Arc<Link>> {
    let spread = SEARCH_TIME_PER_PEER.mul_f64(node.watch_view().reached as f64);
    let search_time = MIN_SEARCH_TIME + spread.mul_f64(rand::rng().random());
    let started_at = Instant::now();
    while !needs_own_lease(node) && started_at.elapsed() < search_time {
        if let Some(registrar) = node.choose_registrar(failed) {
            return Some(registrar);
        }
        sleep(SEARCH_INTERVAL).await;
    }
    None
}

/// Sends a request and returns whether the registrar answered that the registry holds the record.
async fn request_registration(node: &Node, registrar: &Link) -> bool {
    node.request_registration(registrar);
    let answer = timeout(ANSWER_TIMEOUT, node.registration_by(registrar));
    let is_registered = registrar.is_open() && answer.await.is_ok();
    node.set_has_registrar(is_registered);
    is_registered
}

/// Waits until the next request is due or fails at once because the link has closed. Returns `true`
/// if this node needs a lease of its own instead.
async fn wait_for_next_request(node: &Node, registrar: &Link) -> bool {
    let request_due_at = Instant::now() + REQUEST_INTERVAL;
    while Instant::now() < request_due_at && registrar.is_open() {
        tokio::select! {
            () = sleep(SEARCH_INTERVAL) => {}
            () = node.record_changed() => return needs_own_lease(node),
        }
        if needs_own_lease(node) {
            return true;
        }
    }
    false
}
