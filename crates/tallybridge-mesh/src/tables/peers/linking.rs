//! Learns of nodes and selects which of them to link to.
//!
//! The selection for a service ([`super::subset`]) is repeated when one of its inputs changes: a
//! node is discovered, connects, disconnects or counts as down, or the number of services changes.
//!
//! A link to a node that is no longer selected is kept until another link is open in its place. In a
//! large fleet a read of the registry can replace most of the selection at once, for example seconds
//! after all nodes were restarted, and calls need executors in the meantime.

use std::{net::SocketAddr, sync::Arc};

use tokio::time::Instant;

use super::{
    LinkRequest, PeerRow, PeerTable,
    contact::{Reachability, UnlinkedNode},
    subset::{LinkCandidate, choose_subset, subset_size},
};
use crate::protocol::{NodeRecord, PeerStatus};

impl PeerRow {
    fn new(id: u64, record: NodeRecord, now: Instant) -> Self {
        Self {
            id,
            service: record.service.as_str().into(),
            link: None,
            status: PeerStatus::default(),
            sent_since_report: 0,
            avoid_until: None,
            loss_rate: 0.0,
            probed_at: None,
            last_contact: now,
            reachability: Reachability::Unknown,
            record,
        }
    }
}

impl PeerTable {
    /// Adds or updates the record of a node. [`select_links`](Self::select_links) decides whether
    /// to link to it.
    pub fn learn(&mut self, record: NodeRecord, now: Instant) {
        self.learn_slots(&record.service, record.slots);
        if record.address == self.own.address {
            return;
        }
        if let Some(row) = self.rows.get(&record.address) {
            if row.link.is_none() {
                self.replace_record(record);
            }
            return;
        }
        let service: Arc<str> = record.service.as_str().into();
        let known_node = self.unlinked.get(&record.address);
        let is_new = known_node.is_none_or(|node| node.record.service != record.service);
        let last_seen = now;
        let node = UnlinkedNode { record, last_seen };
        self.unlinked.insert(node.record.address, node);
        if is_new {
            self.learn_service(&service);
            self.to_reselect.insert(service);
        }
    }

    /// Replaces the record of a node that has a row. The node at this address may now belong to
    /// another service.
    pub(super) fn replace_record(&mut self, record: NodeRecord) {
        let Some(row) = self.rows.get_mut(&record.address) else {
            return;
        };
        if *row.service != *record.service {
            let service: Arc<str> = record.service.as_str().into();
            let previous_service = std::mem::replace(&mut row.service, service.clone());
            row.record = record;
            self.learn_service(&service);
            self.to_reselect.extend([previous_service, service]);
        } else {
            row.record = record;
        }
    }

    /// Adds a service. A larger number of services may reduce the number of links to each of them.
    fn learn_service(&mut self, service: &Arc<str>) {
        let previous_size = subset_size(self.services.len());
        self.services.insert(service.clone());
        if subset_size(self.services.len()) != previous_size {
            self.to_reselect.extend(self.services.iter().cloned());
        }
    }

    /// Repeats the selection for services whose inputs changed and returns the links to open. A
    /// link to a node that is no longer selected closes after its last call.
    #[must_use = "the links must be opened"]
    pub fn select_links(&mut self, now: Instant) -> Vec<LinkRequest> {
        let mut requests = Vec::new();
        for service in std::mem::take(&mut self.to_reselect) {
            self.select_links_to(&service, now, &mut requests);
        }
        requests
    }

    fn select_links_to(
        &mut self,
        service: &Arc<str>,
        now: Instant,
        requests: &mut Vec<LinkRequest>,
    ) {
        let candidates = self.candidates_to_link(service, now);
        let selected = choose_subset(candidates, subset_size(self.services.len()));
        self.retire_unselected(service, &selected, now);
        for address in selected {
            if let Some(node) = self.unlinked.remove(&address) {
                requests.push(self.add_row(address, node.record, now));
            }
        }
        if self.may_need_replacement(service, now) {
            // A node may count as down at the next tick.
            self.to_reselect.insert(service.clone());
        }
    }

    fn candidates_to_link(&self, service: &Arc<str>, now: Instant) -> Vec<LinkCandidate> {
        let rows = self.rows.values();
        let rows = rows.filter(|row| row.service == *service && !row.is_down(now));
        let unlinked = self.unlinked.values().map(|node| &node.record);
        let unlinked = unlinked.filter(|record| *record.service == **service);
        rows.map(|row| &row.record)
            .chain(unlinked)
            .map(|record| LinkCandidate::new(&self.own, record))
            .collect()
    }

    /// Retires the links to unselected nodes of a service, except those that no open link to a
    /// selected node replaces yet. Rows of nodes that are down stay, so that this node keeps trying
    /// to reconnect.
    fn retire_unselected(&mut self, service: &Arc<str>, selected: &[SocketAddr], now: Instant) {
        let mut unreplaced = self.count_unreplaced(selected);
        let mut is_unselected = |address: &SocketAddr, row: &mut PeerRow| {
            if row.service != *service || row.is_down(now) || selected.contains(address) {
                return false;
            }
            let is_kept = row.link.is_some() && unreplaced > 0;
            unreplaced -= usize::from(is_kept);
            !is_kept
        };
        let unselected: Vec<_> = self.rows.extract_if(&mut is_unselected).collect();
        for (address, row) in unselected {
            if let Some(link) = row.link {
                link.retire();
            }
            let node = UnlinkedNode {
                record: row.record,
                last_seen: now,
            };
            self.unlinked.insert(address, node);
        }
    }

    /// Returns the number of selected nodes without an open link.
    fn count_unreplaced(&self, selected: &[SocketAddr]) -> usize {
        let rows = selected.iter().map(|address| self.rows.get(address));
        rows.filter(|row| row.is_none_or(|row| row.link.is_none()))
            .count()
    }

    fn add_row(&mut self, address: SocketAddr, record: NodeRecord, now: Instant) -> LinkRequest {
        let row_id = self.next_row_id;
        self.next_row_id += 1;
        let row = PeerRow::new(row_id, record, now);
        self.rows.insert(address, row);
        LinkRequest { address, row_id }
    }

    /// Returns whether a node of a service has no link and may soon count as down, and an unlinked
    /// node could replace it.
    fn may_need_replacement(&self, service: &Arc<str>, now: Instant) -> bool {
        let mut unlinked = self.unlinked.values();
        let has_unlinked = unlinked.any(|node| *node.record.service == **service);
        let may_soon_be_down =
            |row: &PeerRow| row.service == *service && row.link.is_none() && !row.is_down(now);
        has_unlinked && self.rows.values().any(may_soon_be_down)
    }
}
