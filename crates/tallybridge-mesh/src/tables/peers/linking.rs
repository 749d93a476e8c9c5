//! Nodes are learned of, linked to, put back among the spare ones, and forgotten.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::time::Instant;

use super::{
    PeerRow, PeerTable,
    subset::{LinkCandidate, choose_subset, subset_size},
};
use crate::protocol::{NodeRecord, PeerStatus};

/// Time without any contact after which a node that was linked to is forgotten.
const FORGET: Duration = Duration::from_secs(60);
/// Time without a link after which another node is linked to in its place.
const REPLACE_AFTER: Duration = Duration::from_secs(3);
/// Time after which a spare node that nobody named again is forgotten: several looks at the
/// register.
const FORGET_SPARE: Duration = Duration::from_secs(300);

/// A link that is to be opened, and kept for as long as the row is the one of this number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkRequest {
    /// Where the node takes links.
    pub address: SocketAddr,
    number: u64,
}

/// A node that is known and not linked to.
#[derive(Debug)]
pub(super) struct UnlinkedNode {
    pub(super) record: NodeRecord,
    heard_at: Instant,
}

/// What came of the attempts to open a link to a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Contact {
    /// None has ended yet.
    Untried,
    /// All failed.
    Refused,
    /// One succeeded at some time, so that the node may be restarting.
    Had,
}

impl PeerRow {
    fn new(number: u64, record: NodeRecord, now: Instant) -> Self {
        Self {
            number,
            service: record.service.as_str().into(),
            link: None,
            status: PeerStatus::default(),
            sent_since_report: 0,
            avoid_until: None,
            lost_share: 0.0,
            probed_at: None,
            last_contact: now,
            contact: Contact::Untried,
            record,
        }
    }

    /// Whether another node is to be linked to in its place: it has been without a link for some
    /// time, or could not be reached at all.
    fn is_down(&self, now: Instant) -> bool {
        let silent = now.saturating_duration_since(self.last_contact);
        self.link.is_none() && (self.contact == Contact::Refused || silent >= REPLACE_AFTER)
    }
}

impl PeerTable {
    /// Takes in a record. Whether its node is linked to is decided by [`settle`](Self::settle).
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
        let known = self.spares.get(&record.address);
        let is_news = known.is_none_or(|spare| spare.record.service != record.service);
        let heard_at = now;
        let spare = UnlinkedNode { record, heard_at };
        self.spares.insert(spare.record.address, spare);
        if is_news {
            self.learn_service(&service);
            self.unsettled.insert(service);
        }
    }

    /// Takes in the record of a node that has a row; another service may have its address now.
    pub(super) fn replace_record(&mut self, record: NodeRecord) {
        let Some(row) = self.rows.get_mut(&record.address) else {
            return;
        };
        if *row.service != *record.service {
            let service: Arc<str> = record.service.as_str().into();
            let before = std::mem::replace(&mut row.service, service.clone());
            row.record = record;
            self.learn_service(&service);
            self.unsettled.extend([before, service]);
        } else {
            row.record = record;
        }
    }

    /// A service more may mean fewer links to each.
    fn learn_service(&mut self, service: &Arc<str>) {
        let size = subset_size(self.services.len());
        self.services.insert(service.clone());
        if subset_size(self.services.len()) != size {
            self.unsettled.extend(self.services.iter().cloned());
        }
    }

    /// Chooses anew which nodes are linked to where something has changed, and gives the links to
    /// open. Links to nodes that are not chosen any more end once no call is under way on them.
    #[must_use = "the links must be opened"]
    pub fn settle(&mut self, now: Instant) -> Vec<LinkRequest> {
        let mut orders = Vec::new();
        for service in std::mem::take(&mut self.unsettled) {
            self.settle_service(&service, now, &mut orders);
        }
        orders
    }

    fn settle_service(&mut self, service: &Arc<str>, now: Instant, orders: &mut Vec<LinkRequest>) {
        let candidates = self.candidates_to_link(service, now);
        let wanted = choose_subset(candidates, subset_size(self.services.len()));
        self.retire_unwanted(service, &wanted, now);
        for address in wanted {
            let Some(spare) = self.spares.remove(&address) else {
                continue;
            };
            let number = self.next_row;
            self.next_row += 1;
            self.rows
                .insert(address, PeerRow::new(number, spare.record, now));
            orders.push(LinkRequest { address, number });
        }
        let has_spares = self
            .spares
            .values()
            .any(|spare| *spare.record.service == **service);
        let may_go_down = self
            .rows
            .values()
            .any(|row| row.service == *service && row.link.is_none() && !row.is_down(now));
        if has_spares && may_go_down {
            // Looked at again with the next tick.
            self.unsettled.insert(service.clone());
        }
    }

    fn candidates_to_link(&self, service: &Arc<str>, now: Instant) -> Vec<LinkCandidate> {
        let rows = self.rows.values();
        let rows = rows.filter(|row| row.service == *service && !row.is_down(now));
        let spares = self.spares.values().map(|spare| &spare.record);
        let spares = spares.filter(|record| *record.service == **service);
        rows.map(|row| &row.record)
            .chain(spares)
            .map(|record| LinkCandidate::of(&self.own, record))
            .collect()
    }

    fn retire_unwanted(&mut self, service: &Arc<str>, wanted: &[SocketAddr], now: Instant) {
        let is_unwanted = |address: &SocketAddr, row: &mut PeerRow| {
            row.service == *service && !row.is_down(now) && !wanted.contains(address)
        };
        let unwanted: Vec<_> = self.rows.extract_if(is_unwanted).collect();
        for (address, row) in unwanted {
            if let Some(link) = row.link {
                link.retire();
            }
            let spare = UnlinkedNode {
                record: row.record,
                heard_at: now,
            };
            self.spares.insert(address, spare);
        }
    }

    /// Whether a link is not to be opened again: another one has its place, or its node is not
    /// chosen any more, or has not been in contact for so long that it is forgotten.
    pub fn forget(&mut self, order: LinkRequest, now: Instant) -> bool {
        let Some(row) = self.rows.get(&order.address) else {
            return true;
        };
        if row.number != order.number {
            return true;
        }
        let is_lost =
            row.link.is_none() && now.saturating_duration_since(row.last_contact) > FORGET;
        if is_lost {
            let service = row.service.clone();
            self.rows.remove(&order.address);
            self.unsettled.insert(service);
        }
        is_lost
    }

    /// A link could not be opened. A node that was never reached gives way at once.
    pub fn unreachable(&mut self, order: LinkRequest) {
        if let Some(row) = self.rows.get_mut(&order.address)
            && row.number == order.number
            && row.contact == Contact::Untried
        {
            row.contact = Contact::Refused;
            self.unsettled.insert(row.service.clone());
        }
    }

    /// Whether a link that was ordered is still wanted.
    #[must_use]
    pub fn is_wanted(&self, order: LinkRequest) -> bool {
        let row = self.rows.get(&order.address);
        row.is_some_and(|row| row.number == order.number)
    }

    /// Drops spare nodes that nobody has named for long.
    pub fn forget_unlinked(&mut self, now: Instant) {
        self.spares
            .retain(|_, spare| now.saturating_duration_since(spare.heard_at) < FORGET_SPARE);
    }
}
