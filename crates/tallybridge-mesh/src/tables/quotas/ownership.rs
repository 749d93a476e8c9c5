//! When a node may act as the owner of tenants.
//!
//! **Rule.** A node that ranks first for a tenant gives tokens once it knows the fleet and while it
//! can tell that no other node took over: it reaches at least half of the nodes that it links to,
//! or the configuration was read from the store since it last did.
//!
//! **Inputs.** The nodes in reach, at each tick ([`Reach`]); when the store was asked for the newest
//! configuration that is known to have been read.
//!
//! **Output.** [`Ownership::may_own`], and [`Ownership::since`], before which another node may have been
//! the owner.
//!
//! **Why.** Two owners at once would let twice the limit through. A node that has lost most others may be
//! cut off, and the others have chosen a new owner; a read of the store proves that it is not. A node that
//! has just started reaches nobody and would rank first for every tenant, as would all that start with it.

use std::time::Duration;

use crate::clock::BootInstant;

/// Longest time for which a node that has started tries to reach the others before it may own tenants:
/// several times what it takes to open links to all. Origin of the figure not recorded.
const SETTLE: Duration = Duration::from_millis(1000);

/// Which nodes a node reaches, as of a tick.
#[derive(Debug, Clone, Copy)]
pub struct Reach {
    /// The nodes in reach as one number, which changes when they do.
    pub fingerprint: u64,
    /// Whether any node is in reach.
    pub reaches_any: bool,
    /// Whether at least half of the nodes that are linked to are in reach.
    pub reaches_most: bool,
    /// Whether the registry was read since the start.
    pub has_read_registry: bool,
}

/// Whether, and since when, a node may act as the owner of the tenants for which it ranks first.
#[derive(Debug)]
pub struct Ownership {
    /// Fingerprint of the nodes in reach.
    reached: u64,
    since: BootInstant,
    /// Since when most nodes are out of reach; `None` while they are not.
    minority_since: Option<BootInstant>,
    /// Since when a node that has started knows others, or knows that there may be none.
    others_known_since: Option<BootInstant>,
    is_settled: bool,
}

impl Ownership {
    /// Of a node that starts now.
    #[must_use]
    pub const fn new(now: BootInstant) -> Self {
        Self {
            reached: 0,
            since: now,
            minority_since: None,
            others_known_since: None,
            is_settled: false,
        }
    }

    /// Takes note of which nodes are in reach.
    pub fn note_reach(&mut self, reach: Reach, now: BootInstant) {
        if !self.is_settled {
            self.settle(reach, now);
        }
        if reach.fingerprint != self.reached {
            self.reached = reach.fingerprint;
            self.since = now;
        }
        if reach.reaches_most {
            self.minority_since = None;
        } else {
            self.minority_since.get_or_insert(now);
        }
    }

    /// This process did not run for a while: another node may have been the owner until now.
    pub const fn restart(&mut self, now: BootInstant) {
        self.since = now;
    }

    /// Since when the same nodes are in reach, so that this one ranks first for the same tenants.
    #[must_use]
    pub const fn since(&self) -> BootInstant {
        self.since
    }

    /// Whether this node may give tokens. `read_at` is when the store was asked for the newest
    /// configuration that was read, here or at a node in reach.
    #[must_use]
    pub fn may_own(&self, read_at: Option<BootInstant>) -> bool {
        if !self.is_settled {
            return false;
        }
        let since = self.minority_since;
        since.is_none_or(|since| read_at.is_some_and(|read_at| read_at > since))
    }

    /// A node that has started is settled once it reaches most of the nodes in the registry, or has tried
    /// to for a while.
    fn settle(&mut self, reach: Reach, now: BootInstant) {
        if reach.has_read_registry || reach.reaches_any {
            self.others_known_since.get_or_insert(now);
        }
        let since = self.others_known_since;
        let has_tried = since.is_some_and(|since| now >= since + SETTLE);
        let has_reached_most = reach.reaches_any && reach.reaches_most;
        self.is_settled = has_tried || (reach.has_read_registry && has_reached_most);
    }
}
