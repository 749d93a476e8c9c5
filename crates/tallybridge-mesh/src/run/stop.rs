//! Planned stop of a node, in three phases.
//!
//! During the *notice*, the node reports that it is not ready and peers prefer other executors, but
//! it still serves all requests and calls. During the *drain*, it refuses new requests and calls and
//! waits until it has had none in flight for [`IDLE_PERIOD`]. Then it ends its registration and closes
//! the links of its peers. Nested calls are served until the end, but late in the stop only those begin,
//! and only those calls are retried, that the end of the process cannot cut off.
//!
//! A request or call is in flight until its answer has arrived, however slowly the caller or peer reads.
//! Connections are closed only after the other side has received everything, because the end of the
//! process would reset those on which the other side sends again.
//!
//! The notice gives callers and peers time to notice the stop, so that no request is cut off. The
//! first two phases end at the latest [`STOP_MARGIN`] before the end of the grace time, after which
//! the platform kills the process.

use std::{sync::Arc, time::Duration};

use tokio::time::{Instant, sleep, sleep_until};

use crate::{clock::BootInstant, node::Node, tasks::registration::unregister};

/// Time that callers and peers need to notice the stop.
const NOTICE_PERIOD: Duration = Duration::from_millis(2600);
/// Time without requests and calls in flight that ends the drain.
const IDLE_PERIOD: Duration = Duration::from_millis(400);
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
const LINK_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Part of the grace time that is reserved to end the registration and exit.
const STOP_MARGIN: Duration = Duration::from_millis(350);

/// Runs the planned stop. Returns when the process may exit.
pub async fn stop(node: &Arc<Node>) {
    let requested_at = Instant::now();
    let length = node.stop_grace().saturating_sub(STOP_MARGIN);
    let deadline = requested_at + length;
    tracing::info!(in_flight = node.requests_in_flight(), "node is stopping");
    node.set_stop_deadline(BootInstant::now() + length);
    node.begin_stop();
    sleep_until((requested_at + NOTICE_PERIOD).min(deadline)).await;
    node.refuse_work();
    drain(node, deadline).await;
    unregister(node).await;
    close_links(node, deadline).await;
    tracing::info!(
        cut_off = node.requests_in_flight(),
        undelivered = node.closing_connections(),
        "node stopped"
    );
}

/// Waits until nothing has been in flight for [`IDLE_PERIOD`], or until `deadline`.
async fn drain(node: &Node, deadline: Instant) {
    let mut idle_since = Instant::now();
    while Instant::now() < deadline && idle_since.elapsed() < IDLE_PERIOD {
        sleep(DRAIN_POLL_INTERVAL).await;
        if node.has_work_in_flight() {
            idle_since = Instant::now();
        }
    }
}

/// Closes the links that peers opened, and waits until the peers have received the last replies, until
/// `deadline`.
async fn close_links(node: &Node, deadline: Instant) {
    node.close_accepted_links();
    while Instant::now() < deadline && node.has_accepted_links() {
        sleep(LINK_POLL_INTERVAL).await;
    }
}
