//! The peers of a node: which nodes it knows, which of them it links to, and what they reported.
//!
//! A node links to a selection of the nodes that it knows. The table owns a `PeerRow` with the link
//! and the last report for each selected node, and the record of each other known node. It is not
//! persisted: after a restart a node learns of its peers from the registry and from other nodes.
//! Relies on [`crate::link`] for links. Callers pass the current time.
//!
//! * `placement` chooses the executor of a call.
//! * `subset` chooses the nodes to link to; `linking` applies the choice and `contact` records the
//!   events of the links.
//! * `notices` keeps what back ends announced.
//! * `reports` keeps the state of executors.
//! * `quota_owner` finds the node that owns a tenant's rate limit.

mod contact;
mod linking;
mod notices;
mod placement;
mod quota_owner;
mod reports;
mod subset;

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
};

use tokio::time::Instant;

use self::contact::{Reachability, UnlinkedNode};
pub use self::{
    contact::LinkRequest,
    notices::BackendNotices,
    placement::{Executor, PlacementQuery},
    quota_owner::QuotaOwner,
};
use crate::{
    link::Link,
    policy::PolicySettings,
    protocol::{NodeRecord, PeerStatus},
};

/// Share of the selected nodes below which this node counts as isolated. A node that is cut off
/// from all zones but its own still serves, and reaches a larger share.
const MIN_REACHED_SHARE: f64 = 0.1;

/// A node that this one is linked to or tries to link to.
#[derive(Debug)]
struct PeerRow {
    /// Distinguishes this row from other rows of the same address.
    id: u64,
    record: NodeRecord,
    service: Arc<str>,
    link: Option<Arc<Link>>,
    /// Status that the node last reported.
    status: PeerStatus,
    /// Calls sent to the node since its load was last reported.
    sent_since_report: u32,
    avoid_until: Option<Instant>,
    /// Moving average of the share of calls to the node whose outcome is unknown, 0 to 1.
    loss_rate: f64,
    /// When this node last probed the back end, while it was an outlier.
    probed_at: Option<Instant>,
    last_contact: Instant,
    reachability: Reachability,
}

/// The other nodes that a node knows, by address.
#[derive(Debug)]
pub struct PeerTable {
    own: NodeRecord,
    /// Nodes that were selected to link to.
    rows: HashMap<SocketAddr, PeerRow>,
    /// Known nodes that were not selected.
    unlinked: HashMap<SocketAddr, UnlinkedNode>,
    services: HashSet<Arc<str>>,
    /// Services whose selection must be repeated.
    to_reselect: HashSet<Arc<str>>,
    next_row_id: u64,
    own_loss_rate: f64,
    own_probed_at: Option<Instant>,
    /// Slots that a back end of a service last reported.
    reported_slots: HashMap<Arc<str>, u32>,
    policy: PolicySettings,
}

impl PeerTable {
    /// Creates a table without peers. `own` is the record of this node.
    #[must_use]
    pub fn new(own: NodeRecord) -> Self {
        Self {
            own,
            rows: HashMap::new(),
            unlinked: HashMap::new(),
            services: HashSet::new(),
            to_reselect: HashSet::new(),
            next_row_id: 0,
            own_loss_rate: 0.0,
            own_probed_at: None,
            reported_slots: HashMap::new(),
            policy: PolicySettings::default(),
        }
    }

    /// Replaces the policy switches.
    #[must_use]
    pub fn with_policy(mut self, policy: PolicySettings) -> Self {
        self.policy = policy;
        self
    }

    /// Returns the number of selected nodes, with or without an open link, and counts this node.
    #[must_use]
    pub fn subset_size(&self) -> usize {
        self.rows.len() + 1
    }

    /// Returns the number of known nodes, linked or not, and counts this node.
    #[must_use]
    pub fn known_size(&self) -> usize {
        self.rows.len() + self.unlinked.len() + 1
    }

    /// Counts the known nodes, including this one, whose service matches `predicate`.
    #[must_use]
    pub fn count_nodes(&self, predicate: impl Fn(&str) -> bool) -> usize {
        let linked = self.rows.values().map(|row| &*row.record.service);
        let unlinked = self.unlinked.values().map(|node| &*node.record.service);
        let own = std::iter::once(&*self.own.service);
        let services = linked.chain(unlinked).chain(own);
        services.filter(|service| predicate(service)).count()
    }

    /// Returns whether this node reaches so few of its selected peers that the node itself is
    /// probably cut off. Callers are then better served elsewhere.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        self.policy.unready_when_isolated
            && (self.reached() as f64) < self.rows.len() as f64 * MIN_REACHED_SHARE
    }

    /// Returns the number of peers with an open link that is not suspect.
    #[must_use]
    pub fn reached(&self) -> usize {
        let links = self.rows.values().filter_map(|row| row.link.as_ref());
        links.filter(|link| !link.is_suspect()).count()
    }

    /// Iterates over open links with the addresses of their peers.
    pub fn links(&self) -> impl Iterator<Item = (SocketAddr, &Arc<Link>)> {
        self.rows
            .iter()
            .filter_map(|(address, row)| row.link.as_ref().map(|link| (*address, link)))
    }

    /// Returns the records of all peers with an open link.
    #[must_use]
    pub fn records(&self) -> Vec<NodeRecord> {
        self.linked_rows().map(|row| row.record.clone()).collect()
    }

    /// Returns the link to the reachable peer with the newest configuration after `version`.
    /// Prefers a peer in the same zone.
    #[must_use]
    pub fn link_with_newer_configuration(&self, version: u64) -> Option<Arc<Link>> {
        self.rows
            .values()
            .filter(|row| row.status.version > version)
            .filter(|row| row.link.as_ref().is_some_and(|link| !link.is_suspect()))
            .max_by_key(|row| (row.status.version, row.record.zone == self.own.zone))
            .and_then(|row| row.link.clone())
    }

    /// Returns the link to the node at `address` if it is reachable and registers peers.
    #[must_use]
    pub fn link_to_registrar(&self, address: SocketAddr) -> Option<Arc<Link>> {
        let row = self
            .rows
            .get(&address)
            .filter(|row| row.record.registers_peers)?;
        row.link.clone().filter(|link| !link.is_suspect())
    }

    fn linked_rows(&self) -> impl Iterator<Item = &PeerRow> {
        self.rows.values().filter(|row| row.link.is_some())
    }
}
