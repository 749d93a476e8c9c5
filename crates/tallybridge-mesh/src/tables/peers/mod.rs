//! The other nodes: where they are, what stands beside them, and how busy that is.

mod linking;
mod placement;
mod quota_owner;
mod subset;

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use tokio::time::Instant;

use self::linking::{Contact, UnlinkedNode};
pub use self::{
    linking::LinkRequest,
    placement::{Executor, PlacementQuery},
    quota_owner::QuotaOwner,
};

use crate::{
    link::Link,
    policy::PolicySettings,
    protocol::{Load, NodeRecord, PeerStatus},
};

/// Time that an executor is passed over after it was lost or refused a call.
const AVOID: Duration = Duration::from_millis(300);
/// Part of the nodes that are linked to below which a node counts as isolated. A node that is cut off
/// from all other zones reaches its own, a sixth of the fleet where there are six, and still serves.
const REACHED_AT_LEAST: f64 = 0.1;
/// Nodes of a service whose registrations hold the slots of its back ends: enough that some are left
/// when nodes that have just started ask for it.
const SLOTS_TOLD_BY: usize = 4;
/// Weight of the newest outcome in the share of calls that an executor loses.
const LOSS_GAIN: f64 = 0.08;

#[derive(Debug)]
struct PeerRow {
    /// Tells this row from an earlier or later one of the same address.
    number: u64,
    record: NodeRecord,
    service: Arc<str>,
    link: Option<Arc<Link>>,
    status: PeerStatus,
    sent_since_report: u32,
    avoid_until: Option<Instant>,
    lost_share: f64,
    /// When a call was last sent here although the back end fails more calls than others do.
    probed_at: Option<Instant>,
    last_contact: Instant,
    contact: Contact,
}

/// The other nodes, by address: those that this one links to, each with a row, and spare ones.
#[derive(Debug)]
pub struct PeerTable {
    own: NodeRecord,
    rows: HashMap<SocketAddr, PeerRow>,
    spares: HashMap<SocketAddr, UnlinkedNode>,
    services: HashSet<Arc<str>>,
    /// Services for which the nodes that are linked to must be chosen anew.
    unsettled: HashSet<Arc<str>>,
    next_row: u64,
    own_lost_share: f64,
    own_probed_at: Option<Instant>,
    usual_slots: HashMap<Arc<str>, u32>,
    policy: PolicySettings,
}

impl PeerTable {
    /// A table that knows of no other node.
    #[must_use]
    pub fn new(own: NodeRecord) -> Self {
        Self {
            own,
            rows: HashMap::new(),
            spares: HashMap::new(),
            services: HashSet::new(),
            unsettled: HashSet::new(),
            next_row: 0,
            own_lost_share: 0.0,
            own_probed_at: None,
            usual_slots: HashMap::new(),
            policy: PolicySettings::default(),
        }
    }

    /// The same table with other switches of its choices.
    #[must_use]
    pub fn with_policy(mut self, policy: PolicySettings) -> Self {
        self.policy = policy;
        self
    }

    /// A link was opened, and the node at its end said who it is; `false` when that node is not to
    /// be linked to.
    pub fn connected(&mut self, record: NodeRecord, link: Arc<Link>, now: Instant) -> bool {
        let address = record.address;
        self.learn_slots(&record.service, record.slots);
        self.replace_record(record);
        let Some(row) = self.rows.get_mut(&address) else {
            return false;
        };
        row.link = Some(link);
        row.status = PeerStatus::default();
        row.sent_since_report = 0;
        row.avoid_until = None;
        row.lost_share = 0.0;
        row.last_contact = now;
        row.contact = Contact::Had;
        // Those that had taken its place may give way to it.
        self.unsettled.insert(row.service.clone());
        true
    }

    /// A link to a node ended.
    pub fn disconnected(&mut self, address: SocketAddr, link: &Arc<Link>) {
        let Some(row) = self.rows.get_mut(&address) else {
            return;
        };
        if row.link.as_ref().is_some_and(|of| Arc::ptr_eq(of, link)) {
            row.link = None;
            row.status = PeerStatus::default();
            self.unsettled.insert(row.service.clone());
        }
    }

    /// A node told its status.
    pub fn status(&mut self, address: SocketAddr, status: PeerStatus, now: Instant) {
        let slots = status.slots;
        let Some(row) = self.rows.get_mut(&address) else {
            return;
        };
        row.status = status;
        row.sent_since_report = 0;
        row.last_contact = now;
        let service = row.service.clone();
        self.learn_slots(&service, slots);
    }

    /// An answer told how busy its executor is.
    pub fn load(&mut self, address: SocketAddr, load: Load) {
        if let Some(row) = self.rows.get_mut(&address) {
            row.status.load = load;
            row.sent_since_report = 0;
        }
    }

    /// A call is sent to a node.
    pub fn sent(&mut self, address: SocketAddr) {
        if let Some(row) = self.rows.get_mut(&address) {
            row.sent_since_report += 1;
        }
    }

    /// A node lost or refused a call: it is passed over for a while.
    pub fn avoid(&mut self, address: SocketAddr, now: Instant) {
        if let Some(row) = self.rows.get_mut(&address) {
            row.avoid_until = Some(now + AVOID);
        }
    }

    /// A call at an executor ended with an answer, or was lost there.
    pub fn outcome(&mut self, address: SocketAddr, is_lost: bool) {
        let sample = if is_lost { 1.0 } else { 0.0 };
        let share = match self.rows.get_mut(&address) {
            Some(row) => &mut row.lost_share,
            None if address == self.own.address => &mut self.own_lost_share,
            None => return,
        };
        *share += (sample - *share) * LOSS_GAIN;
    }

    /// Nodes that this one links to or tries to, itself included.
    #[must_use]
    pub fn subset_size(&self) -> usize {
        self.rows.len() + 1
    }

    /// Nodes that this one knows of, itself included.
    #[must_use]
    pub fn known_size(&self) -> usize {
        self.rows.len() + self.spares.len() + 1
    }

    /// Whether this node reaches so few of the nodes that it links to that it is rather cut off
    /// itself than they are gone: callers are better served elsewhere.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        self.policy.unready_when_isolated
            && (self.reached() as f64) < self.rows.len() as f64 * REACHED_AT_LEAST
    }

    /// Nodes that are linked to and answer.
    #[must_use]
    pub fn reached(&self) -> usize {
        let links = self.rows.values().filter_map(|row| row.link.as_ref());
        links.filter(|link| !link.is_suspect()).count()
    }

    /// Links that are open.
    pub fn links(&self) -> impl Iterator<Item = (SocketAddr, &Arc<Link>)> {
        self.rows
            .iter()
            .filter_map(|(address, row)| row.link.as_ref().map(|link| (*address, link)))
    }

    /// Records of all nodes that are linked.
    #[must_use]
    pub fn records(&self) -> Vec<NodeRecord> {
        self.rows
            .values()
            .filter(|row| row.link.is_some())
            .map(|row| row.record.clone())
            .collect()
    }

    /// Status of every linked node, with its service.
    pub fn statuses(&self) -> impl Iterator<Item = (&Arc<str>, &PeerStatus)> {
        self.rows
            .values()
            .filter(|row| row.link.is_some())
            .map(|row| (&row.service, &row.status))
    }

    /// Mean times that calls of a service are with its back ends, as far as these are told.
    pub fn call_times(&self, service: &str) -> impl Iterator<Item = Duration> {
        let of_service = self.statuses().filter(move |(name, _)| &***name == service);
        let told = of_service.map(|(_, status)| status.load.service_ms);
        told.filter(|service_ms| *service_ms > 0)
            .map(|service_ms| Duration::from_millis(service_ms.into()))
    }

    /// Slots that back ends of a service have, to start from before the own one told its.
    #[must_use]
    pub fn usual_slots(&self, service: &str) -> Option<u32> {
        self.usual_slots.get(service).copied()
    }

    /// Whether enough peers beside back ends of a service tell that these have so many slots: the
    /// register need not hold it of this node as well.
    #[must_use]
    pub fn tell_slots(&self, service: &str, slots: u32) -> bool {
        let rows = self.rows.values().filter(|row| row.link.is_some());
        let telling = rows.filter(|row| *row.service == *service && row.status.slots == slots);
        telling.count() >= SLOTS_TOLD_BY
    }

    fn learn_slots(&mut self, service: &str, slots: u32) {
        if slots > 0 {
            self.usual_slots.insert(service.into(), slots);
        }
    }

    /// A linked node with a newer configuration than `version`: the newest, in this zone rather
    /// than another.
    #[must_use]
    pub fn with_newer(&self, version: u64) -> Option<Arc<Link>> {
        self.rows
            .values()
            .filter(|row| row.status.version > version)
            .filter(|row| row.link.as_ref().is_some_and(|link| !link.is_suspect()))
            .max_by_key(|row| (row.status.version, row.record.zone == self.own.zone))
            .and_then(|row| row.link.clone())
    }
}
