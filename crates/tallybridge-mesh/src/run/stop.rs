//! The planned stop of a node.
//!
//! **Rule.** From the order to stop the node is not ready, and its peers use its back end only for
//! want of another; after 2.6 s it dispatches nothing more and refuses fresh requests; it ends once
//! it had nothing in flight for 400 ms, and 350 ms before the end of the grace time at the latest.
//!
//! | phase | from | callers | peers | ends |
//! |---|---|---|---|---|
//! | notice | the order | sent elsewhere by the readiness check, served meanwhile | prefer other executors | after 2.6 s |
//! | drain | 2.6 s | fresh requests are refused | are refused as well | after 400 ms without a request or call |
//! | deregistration | the end of the drain | as before | as before | when the store answers, or after 200 ms |
//!
//! **Inputs.** Requests that this node entered and calls at its back end, each 20 ms; the grace time of the
//! settings, from the order on.
//!
//! **Why.** Callers and peers learn of a stop with a delay, and what they send until then must not
//! be cut off. Without the drain a request that arrived last would be cut off; without the bound by
//! the grace time the platform would kill the process.

use std::{sync::Arc, time::Duration};

use tokio::time::{Instant, sleep, sleep_until};

use crate::{node::Node, tasks::registration::unregister};

/// Length of the notice: callers and peers have noticed the stop by then. Origin not recorded.
const NOTICE: Duration = Duration::from_millis(2600);
/// Time without work after which a node that drains ends. Origin not recorded.
const QUIET: Duration = Duration::from_millis(400);
/// Time between looks at the work in flight while the node drains. Origin not recorded.
const POLL: Duration = Duration::from_millis(20);
/// Time before the end of the grace time at which the node ends with work in flight, so that it can still
/// deregister and exit. Origin not recorded.
const STOP_MARGIN: Duration = Duration::from_millis(350);

/// Stops a node as planned. Returns when the process may end.
pub async fn stop(node: &Arc<Node>) {
    let ordered = Instant::now();
    let last = ordered + node.stop_grace().saturating_sub(STOP_MARGIN);
    tracing::info!(in_flight = node.requests_in_flight(), "node stops");
    node.begin_stop();
    sleep_until((ordered + NOTICE).min(last)).await;
    node.refuse_work();
    drain(node, last).await;
    unregister(node).await;
    tracing::info!(cut_off = node.requests_in_flight(), "node stopped");
}

/// Waits until nothing was in flight for a time, or until `last`.
async fn drain(node: &Node, last: Instant) {
    let mut quiet_since = Instant::now();
    while Instant::now() < last && quiet_since.elapsed() < QUIET {
        sleep(POLL).await;
        let is_busy = node.requests_in_flight() > 0 || node.load().in_flight > 0;
        if is_busy {
            quiet_since = Instant::now();
        }
    }
}
