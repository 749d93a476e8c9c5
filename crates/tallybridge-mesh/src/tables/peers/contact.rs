//! Contact with peers: links that open, end or can't be opened, and when a node is forgotten.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::time::Instant;

use super::{PeerRow, PeerTable};
use crate::{
    link::Link,
    protocol::{NodeRecord, PeerStatus},
};

/// Time without any contact after which a node that was linked to is forgotten. Origin not recorded.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Time without a link after which another node is linked to in its place: longer than a node takes to
/// start again. Origin of the figure not recorded.
const REPLACE_AFTER: Duration = Duration::from_secs(3);
/// Time after which a node that is not linked to and that nobody named again is forgotten: several reads
/// of the registry, which are 12 s apart, or 60 s where it is large.
const FORGET_UNLINKED_AFTER: Duration = Duration::from_secs(300);

/// A link that is to be opened, and kept open for as long as its row stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkRequest {
    /// Where the node takes links.
    pub address: SocketAddr,
    pub(super) row_id: u64,
}

/// A node that is known and not linked to.
#[derive(Debug)]
pub(super) struct UnlinkedNode {
    pub(super) record: NodeRecord,
    /// When somebody last named it, or it was last linked to.
    pub(super) known_at: Instant,
}

/// What came of the attempts to open a link to a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Contact {
    /// None has ended yet.
    Untried,
    /// All failed.
    Failed,
    /// One succeeded at some time, so that the node may be restarting.
    Succeeded,
}

impl PeerRow {
    /// Whether another node is to be linked to in its place: it has been without a link for some
    /// time, or could not be reached at all.
    pub(super) fn is_down(&self, now: Instant) -> bool {
        let silent = now.saturating_duration_since(self.last_contact);
        self.link.is_none() && (self.contact == Contact::Failed || silent >= REPLACE_AFTER)
    }
}

impl PeerTable {
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
        row.contact = Contact::Succeeded;
        // Those that had taken its place may give way to it.
        self.to_reselect.insert(row.service.clone());
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
            self.to_reselect.insert(row.service.clone());
        }
    }

    /// A link could not be opened. A node that was never reached gives way at once.
    pub fn unreachable(&mut self, request: LinkRequest) {
        if let Some(row) = self.rows.get_mut(&request.address)
            && row.id == request.row_id
            && row.contact == Contact::Untried
        {
            row.contact = Contact::Failed;
            self.to_reselect.insert(row.service.clone());
        }
    }

    /// Whether a link that was requested is still wanted.
    #[must_use]
    pub fn is_wanted(&self, request: LinkRequest) -> bool {
        let row = self.rows.get(&request.address);
        row.is_some_and(|row| row.id == request.row_id)
    }

    /// Forgets the node of a link if it was out of contact for `FORGET_AFTER`. Returns whether the
    /// link is not to be opened again: the node is forgotten now or has another row, or none.
    pub fn forget(&mut self, request: LinkRequest, now: Instant) -> bool {
        let Some(row) = self.rows.get(&request.address) else {
            return true;
        };
        if row.id != request.row_id {
            return true;
        }
        let is_lost =
            row.link.is_none() && now.saturating_duration_since(row.last_contact) > FORGET_AFTER;
        if is_lost {
            let service = row.service.clone();
            self.rows.remove(&request.address);
            self.to_reselect.insert(service);
        }
        is_lost
    }

    /// Forgets nodes that are not linked to and that nobody has named for `FORGET_UNLINKED_AFTER`.
    pub fn forget_unlinked(&mut self, now: Instant) {
        self.unlinked
            .retain(|_, node| now.saturating_duration_since(node.known_at) < FORGET_UNLINKED_AFTER);
    }
}
