//! Who watches the store.
//!
//! **Rule.** A node watches the store while the fleet is small, or while fewer than [`WATCHERS`] of
//! the peers that it links to have confirmed its version. One that watches in vain stops while more
//! than [`WATCHERS_KEPT`] peers do.
//!
//! **Inputs.** [`WatchView`]: the number of nodes known, linked to and in reach, and of peers whose
//! confirmation of this version or a newer one is at most 1.2 s old ([`WatcherTable`]).
//!
//! **Output.** When a node begins and stops to watch.
//!
//! **Why.** There is no election: a watcher that is killed, frozen, cut off or refused by the store
//! is the same as one too few, so one rule covers the start, the loss of any watchers and a fleet
//! cut in two. Leases and ranks lost since a holder that is cut off must first be found out
//! (docs/DESIGN.md, "Ways weighed").
//!
//! [`WatcherTable`]: crate::tables::WatcherTable

use std::time::Duration;

use rand::Rng;
use tokio::time::{Instant, sleep};

use crate::node::{Node, WatchView};

/// Nodes below which each watches the store for itself: with so few, watching for others would cost as many
/// calls as it saves. Origin of the figure not recorded.
const FEW_NODES: usize = 24;
/// Peers that must watch the store for a node that does not: losing all of them at once is as unlikely as
/// losing the store. Origin of the figure not recorded.
const WATCHERS: usize = 4;
/// Peers that watch the store above which a node that does as well may stop: twice those that are needed,
/// since all decide that for themselves.
const WATCHERS_KEPT: usize = 2 * WATCHERS;
/// Time between two decisions of a watcher whether it stops. Origin of the figure not recorded.
const RELIEF_CHECK: Duration = Duration::from_secs(2);
/// Time between checks whether enough peers watch the store, while they don't. Origin of the figure not
/// recorded.
const WATCH_CHECK: Duration = Duration::from_millis(25);
/// The same while they do: each check wakes the process, and 100 ms are little beside the 1.2 s for which a
/// confirmation counts.
const WATCH_CHECK_COVERED: Duration = Duration::from_millis(100);
/// Each peer in reach, which sees about the same as this node, adds this to the time within which
/// nodes begin to watch one after the other. With confirmations each 500 ms a change stays within 2
/// s in `platform/tests/path/watchers.rs`. Origin of the figure not recorded.
const WINDOW_PER_PEER: Duration = Duration::from_millis(20);
/// Time that nodes need at the first start of the whole fleet until they know each other. Origin of the
/// figure not recorded.
const FIRST_START: Duration = Duration::from_millis(2000);
/// Longest wait for the registry after a start. Origin of the figure not recorded.
const REGISTRY_PATIENCE: Duration = Duration::from_millis(500);
/// Longest wait for links after the registry was read. Origin of the figure not recorded.
const LINK_PATIENCE: Duration = Duration::from_millis(400);

impl WatchView {
    /// Whether the fleet is so large that a few nodes watch the store for the rest.
    #[must_use]
    pub const fn is_shared(&self) -> bool {
        self.known >= FEW_NODES
    }

    /// Whether as many links are open as can be expected soon after a start.
    const fn has_linked(&self) -> bool {
        !self.is_shared() || self.reached * 2 >= self.wanted
    }

    /// The time within which the nodes that lack watchers begin to watch, one after the other.
    fn begin_window(&self) -> Duration {
        WINDOW_PER_PEER.mul_f64(self.reached as f64) + WATCH_CHECK
    }

    /// Whether a watcher may stop. Others may decide that at the same time, so each stops with a
    /// probability that leaves [`WATCHERS_KEPT`] on average.
    fn may_stop(&self) -> bool {
        if !self.is_shared() || self.confirming <= WATCHERS_KEPT {
            return false;
        }
        let kept = WATCHERS_KEPT as f64 / self.confirming as f64;
        rand::rng().random_bool(1.0 - kept)
    }
}

/// Waits after a start until the node is linked to peers from which it may learn the configuration,
/// if there are any.
pub(super) async fn links_opened(node: &Node) {
    if node.settings.new_fleet {
        sleep(FIRST_START).await;
    }
    let began = Instant::now();
    while !node.has_read_registry() && began.elapsed() < REGISTRY_PATIENCE {
        sleep(WATCH_CHECK).await;
    }
    let began = Instant::now();
    while !node.watch_view().has_linked() && began.elapsed() < LINK_PATIENCE {
        sleep(WATCH_CHECK).await;
    }
}

/// Waits until this node should watch the store: at once in a small fleet, and in a large one when too few
/// peers do. All nodes see that at about the same time, so each waits for a random time, in which the first
/// ones make up for what is missing.
pub(super) async fn watch_needed(node: &Node) {
    loop {
        let view = node.watch_view();
        if !view.is_shared() {
            return;
        }
        if view.confirming >= WATCHERS {
            sleep(WATCH_CHECK_COVERED).await;
            continue;
        }
        let chance = WATCH_CHECK.as_secs_f64() / view.begin_window().as_secs_f64();
        if rand::rng().random_bool(chance.min(1.0)) {
            let confirming = view.confirming;
            let reached = view.reached;
            tracing::info!(
                confirming,
                reached,
                "too few peers watch the store, this node does"
            );
            return;
        }
        sleep(WATCH_CHECK).await;
    }
}

/// Waits until so many peers watch the store that this node need not. A watch that is given up
/// costs nothing more.
pub(super) async fn relieved(node: &Node) {
    loop {
        sleep(RELIEF_CHECK).await;
        if node.watch_view().may_stop() {
            return;
        }
    }
}
