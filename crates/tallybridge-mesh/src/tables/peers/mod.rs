//! The other nodes: where they are, what stands beside them, and how busy that is.

mod choose;
mod record;

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use tokio::time::Instant;

pub use self::{
    choose::{Choice, Executor},
    record::{BackendState, NodeRecord, PeerStatus},
};
use super::load::Load;
use crate::peer::link::Link;

/// Time that an executor is passed over after it was lost or refused a call.
const AVOID: Duration = Duration::from_millis(300);
/// Time without any contact after which a node that is not registered is forgotten.
const FORGET: Duration = Duration::from_secs(60);
/// Weight of the newest outcome in the share of calls that an executor loses.
const LOSS_GAIN: f64 = 0.08;

#[derive(Debug)]
struct PeerRow {
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
}

/// All other nodes, by address.
#[derive(Debug)]
pub struct PeerTable {
    own: NodeRecord,
    rows: HashMap<SocketAddr, PeerRow>,
    own_lost_share: f64,
    own_probed_at: Option<Instant>,
    usual_slots: HashMap<Arc<str>, u32>,
}

impl PeerTable {
    /// A table that knows of no other node.
    #[must_use]
    pub fn new(own: NodeRecord) -> Self {
        Self {
            own,
            rows: HashMap::new(),
            own_lost_share: 0.0,
            own_probed_at: None,
            usual_slots: HashMap::new(),
        }
    }

    /// Takes in a record; `true` when its address was not known before, so that a link must be
    /// opened.
    pub fn learn(&mut self, record: NodeRecord, now: Instant) -> bool {
        self.learn_slots(&record.service, record.slots);
        if record.address == self.own.address {
            return false;
        }
        if let Some(row) = self.rows.get_mut(&record.address) {
            if row.link.is_none() {
                row.service = record.service.as_str().into();
                row.record = record;
            }
            return false;
        }
        let row = PeerRow {
            service: record.service.as_str().into(),
            link: None,
            status: PeerStatus::default(),
            sent_since_report: 0,
            avoid_until: None,
            lost_share: 0.0,
            probed_at: None,
            last_contact: now,
            record,
        };
        self.rows.insert(row.record.address, row);
        true
    }

    /// A link was opened, and the node at its end said who it is.
    pub fn connected(&mut self, record: NodeRecord, link: Arc<Link>, now: Instant) {
        let address = record.address;
        self.learn(record.clone(), now);
        if let Some(row) = self.rows.get_mut(&address) {
            row.service = record.service.as_str().into();
            row.record = record;
            row.link = Some(link);
            row.status = PeerStatus::default();
            row.sent_since_report = 0;
            row.avoid_until = None;
            row.lost_share = 0.0;
            row.last_contact = now;
        }
    }

    /// The link to a node ended.
    pub fn disconnected(&mut self, address: SocketAddr) {
        if let Some(row) = self.rows.get_mut(&address) {
            row.link = None;
            row.status = PeerStatus::default();
        }
    }

    /// Drops a node that has not been in contact for long; `false` when it stays.
    pub fn forget(&mut self, address: SocketAddr, now: Instant) -> bool {
        let is_lost = self.rows.get(&address).is_some_and(|row| {
            row.link.is_none() && now.saturating_duration_since(row.last_contact) > FORGET
        });
        if is_lost {
            self.rows.remove(&address);
        }
        is_lost
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

    /// Nodes that are linked or registered, this one included.
    #[must_use]
    pub fn fleet_size(&self) -> usize {
        self.rows.len() + 1
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

    /// Slots that back ends of a service have, to start from before the own one told its.
    #[must_use]
    pub fn usual_slots(&self, service: &str) -> Option<u32> {
        self.usual_slots.get(service).copied()
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
            .max_by_key(|row| (row.status.version, row.record.zone == self.own.zone))
            .and_then(|row| row.link.clone())
    }
}
