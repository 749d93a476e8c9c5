//! Decides which nodes watch the store.
//!
//! In a small fleet every node watches. In a large fleet a node starts to watch while fewer than
//! [`MIN_WATCHERS`] of the peers that it links to have confirmed its configuration version recently,
//! and may stop while more than [`MAX_WATCHERS`] peers watch. The decision uses [`WatchView`], which
//! counts confirmations that are at most 1.2 s old.
//!
//! There is no election. A watcher that crashes, is isolated or is refused by the store stops
//! confirming, and other nodes replace it.

use std::time::Duration;

use rand::Rng;
use tokio::time::{Instant, sleep};

use crate::node::{Node, WatchView};

/// Fleet size from which a few nodes watch for the others. In a smaller fleet, sharing costs as many
/// calls as it saves.
const MIN_NODES_TO_SHARE_WATCHES: usize = 24;
/// Number of watching peers below which a node starts to watch.
const MIN_WATCHERS: usize = 4;
/// Number of watching peers above which a watcher may stop. The margin is wide because nodes decide
/// independently.
const MAX_WATCHERS: usize = 2 * MIN_WATCHERS;
/// Time between a watcher's checks whether it may stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Time between checks whether to start watching, while too few peers watch.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Time between the same checks while enough peers watch. It is longer because each check wakes the
/// process.
const COVERED_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Length that each reachable peer adds to the window in which nodes start to watch at random times.
const START_WINDOW_PER_PEER: Duration = Duration::from_millis(20);
/// Time that the nodes of a new fleet need to discover each other.
const NEW_FLEET_DELAY: Duration = Duration::from_millis(2000);
/// Time after which a node of a large fleet may watch although no other node can know of it. Until
/// then, it waits for others whose confirmations reach many nodes.
const UNLISTED_WATCH_DELAY: Duration = Duration::from_secs(3);
const REGISTRY_TIMEOUT: Duration = Duration::from_millis(500);
const LINKS_TIMEOUT: Duration = Duration::from_millis(400);

impl WatchView {
    /// Returns whether the fleet is large enough for a few nodes to watch the store for all.
    #[must_use]
    pub const fn shares_watches(&self) -> bool {
        self.known >= MIN_NODES_TO_SHARE_WATCHES
    }

    /// Returns whether at least half of the wanted links are open, or the fleet is small.
    const fn has_expected_links(&self) -> bool {
        !self.shares_watches() || self.reached * 2 >= self.wanted
    }

    /// Returns the time over which the starts of new watchers are spread.
    ///
    /// After a restart of the whole fleet a node has few open links at first, while all others are
    /// about to watch as well. At least half of its links therefore count as open.
    fn start_window(&self) -> Duration {
        let competing_peers = self.reached.max(self.wanted / 2);
        START_WINDOW_PER_PEER.mul_f64(competing_peers as f64) + START_CHECK_INTERVAL
    }

    /// Returns the probability with which a node starts to watch at one check. It is lower the more
    /// peers watch already, so that few nodes start for the last of [`MIN_WATCHERS`].
    fn start_probability(&self) -> f64 {
        let missing = MIN_WATCHERS.saturating_sub(self.confirming);
        let urgency = missing as f64 / MIN_WATCHERS as f64;
        let probability = START_CHECK_INTERVAL.as_secs_f64() / self.start_window().as_secs_f64();
        (probability * urgency).min(1.0)
    }

    /// Decides at random whether a watcher stops. Several watchers may decide at the same time, so
    /// the probability leaves [`MAX_WATCHERS`] watchers on average.
    fn should_stop(&self) -> bool {
        if !self.shares_watches() || self.confirming <= MAX_WATCHERS {
            return false;
        }
        let stay_probability = MAX_WATCHERS as f64 / self.confirming as f64;
        rand::rng().random_bool(1.0 - stay_probability)
    }
}

/// Waits after a start until the node has read the registry and opened links, for a limited time.
pub(super) async fn wait_for_links(node: &Node) {
    if node.settings.new_fleet {
        sleep(NEW_FLEET_DELAY).await;
    }
    let started_at = Instant::now();
    while !node.has_read_registry() && started_at.elapsed() < REGISTRY_TIMEOUT {
        sleep(START_CHECK_INTERVAL).await;
    }
    let started_at = Instant::now();
    while !node.watch_view().has_expected_links() && started_at.elapsed() < LINKS_TIMEOUT {
        sleep(START_CHECK_INTERVAL).await;
    }
}

/// Waits until this node should watch the store.
///
/// In a large fleet all nodes notice missing watchers at about the same time. Each waits for a random
/// time, so the first nodes to start replace the missing watchers.
pub(super) async fn wait_until_watch_needed(node: &Node) {
    let started_at = Instant::now();
    loop {
        let view = node.watch_view();
        if !view.shares_watches() {
            return;
        }
        let may_watch = node.is_listed() || started_at.elapsed() >= UNLISTED_WATCH_DELAY;
        if view.confirming >= MIN_WATCHERS || !may_watch {
            sleep(COVERED_CHECK_INTERVAL).await;
            continue;
        }
        if rand::rng().random_bool(view.start_probability()) {
            let confirming = view.confirming;
            let reached = view.reached;
            tracing::info!(
                confirming,
                reached,
                "too few peers watch the store; starting to watch it"
            );
            return;
        }
        sleep(START_CHECK_INTERVAL).await;
    }
}

/// Waits until enough peers watch the store for this node to stop.
pub(super) async fn wait_until_watch_unneeded(node: &Node) {
    loop {
        sleep(STOP_CHECK_INTERVAL).await;
        if node.watch_view().should_stop() {
            return;
        }
    }
}
