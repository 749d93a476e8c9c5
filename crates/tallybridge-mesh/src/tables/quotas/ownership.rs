//! Determines when a node may act as the owner of tenants.
//!
//! A node that ranks first for a tenant may grant tokens once it has settled after its start and
//! while it reaches at least half of its linked nodes. A node that reaches fewer may still grant
//! tokens if a configuration was read from the store afterwards, which proves that the node is not
//! isolated.
//!
//! Two owners at once would admit up to twice the limit. The settling time keeps nodes that start
//! at the same time, and reach no peers yet, from all acting as owners.

use std::time::Duration;

use crate::clock::BootInstant;

/// Maximum time for which a node that knows other nodes tries to reach them before it may own
/// tenants.
const MAX_SETTLE_TIME: Duration = Duration::from_millis(1000);

/// Nodes that a node reaches, as of a tick.
#[derive(Debug, Clone, Copy)]
pub struct Reach {
    /// Hash of the set of reachable nodes.
    pub fingerprint: u64,
    /// Whether any node is reachable.
    pub reaches_any: bool,
    /// Whether at least half of the linked nodes are reachable.
    pub reaches_most: bool,
    /// Whether the node has read the registry since it started.
    pub has_read_registry: bool,
}

/// Tracks whether, and since when, a node may act as the owner of the tenants for which it ranks
/// first.
#[derive(Debug)]
pub struct Ownership {
    reached_fingerprint: u64,
    since: BootInstant,
    /// Time since which fewer than half of the linked nodes are reachable; `None` while at least
    /// half are.
    minority_since: Option<BootInstant>,
    /// Time at which the node first read the registry or reached another node.
    others_known_since: Option<BootInstant>,
    is_settled: bool,
}

impl Ownership {
    /// Creates the state of a node that starts at `now`.
    #[must_use]
    pub const fn new(now: BootInstant) -> Self {
        Self {
            reached_fingerprint: 0,
            since: now,
            minority_since: None,
            others_known_since: None,
            is_settled: false,
        }
    }

    /// Records the nodes that are reachable at a tick.
    pub fn record_reach(&mut self, reach: Reach, now: BootInstant) {
        if !self.is_settled {
            self.settle(reach, now);
        }
        if reach.fingerprint != self.reached_fingerprint {
            self.reached_fingerprint = reach.fingerprint;
            self.since = now;
        }
        if reach.reaches_most {
            self.minority_since = None;
        } else {
            self.minority_since.get_or_insert(now);
        }
    }

    /// Restarts the ownership after a pause of this process, in which another node may have been
    /// the owner.
    pub const fn restart(&mut self, now: BootInstant) {
        self.since = now;
    }

    /// Returns the time since which the reachable nodes, and therefore the owned tenants, have not
    /// changed.
    #[must_use]
    pub const fn since(&self) -> BootInstant {
        self.since
    }

    /// Returns whether this node may grant tokens. `read_at` is the time at which the newest known
    /// configuration was requested from the store, by this node or a reachable one.
    #[must_use]
    pub fn may_own(&self, read_at: Option<BootInstant>) -> bool {
        if !self.is_settled {
            return false;
        }
        let since = self.minority_since;
        since.is_none_or(|since| read_at.is_some_and(|read_at| read_at > since))
    }

    /// Settles once the node reaches most of the nodes in the registry or [`MAX_SETTLE_TIME`] has
    /// passed.
    fn settle(&mut self, reach: Reach, now: BootInstant) {
        if reach.has_read_registry || reach.reaches_any {
            self.others_known_since.get_or_insert(now);
        }
        let since = self.others_known_since;
        let has_timed_out = since.is_some_and(|since| now >= since + MAX_SETTLE_TIME);
        let has_reached_most = reach.reaches_any && reach.reaches_most;
        self.is_settled = has_timed_out || (reach.has_read_registry && has_reached_most);
    }
}
