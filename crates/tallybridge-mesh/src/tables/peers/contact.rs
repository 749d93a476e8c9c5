//! Link events of peers: records when a link opens, closes or cannot be opened, and forgets peers.
//!
//! A peer that has been without a link for `REPLACE_AFTER` counts as down and is replaced. Its row
//! stays, so that the node keeps trying to reconnect until `FORGET_UNREACHABLE_AFTER`.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::time::Instant;

use super::{PeerRow, PeerTable};
use crate::{
    link::Link,
    protocol::{NodeRecord, PeerStatus},
};

/// Time without contact after which a selected node is forgotten.
const FORGET_UNREACHABLE_AFTER: Duration = Duration::from_secs(60);
/// Time without a link after which another node is selected instead. A node restarts in less time.
const REPLACE_AFTER: Duration = Duration::from_secs(3);
/// Time after which an unselected node is forgotten if neither a peer nor the registry has named
/// it. Covers several reads of the registry, which are at most 60 s apart.
const FORGET_UNLINKED_AFTER: Duration = Duration::from_secs(300);

/// A request to open a link and to keep it open while the peer's row exists.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkRequest {
    /// Address on which the peer accepts links.
    pub address: SocketAddr,
    pub(super) row_id: u64,
}

/// A known node that this one is not linked to.
#[derive(Debug)]
pub(super) struct UnlinkedNode {
    pub(super) record: NodeRecord,
    /// When a peer or the registry last named the node, or when its link was retired.
    pub(super) last_seen: Instant,
}

/// Result of the attempts to open a link to a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Reachability {
    Unknown,
    /// Every attempt failed.
    NeverReached,
    /// At least one attempt succeeded, so a node without a link may be restarting.
    Reached,
}

impl PeerRow {
    /// Returns whether another node should be linked to instead of this one.
    pub(super) fn is_down(&self, now: Instant) -> bool {
        let disconnected_for = now.saturating_duration_since(self.last_contact);
        self.link.is_none()
            && (self.reachability == Reachability::NeverReached
                || disconnected_for >= REPLACE_AFTER)
    }
}

impl PeerTable {
    /// Records that a link to a node opened, with the record that the node sent on it. Returns
    /// `false` if the node is not selected and the link must be closed.
    pub fn record_link_opened(
        &mut self,
        record: NodeRecord,
        link: Arc<Link>,
        now: Instant,
    ) -> bool {
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
        row.loss_rate = 0.0;
        row.last_contact = now;
        row.reachability = Reachability::Reached;
        // The nodes that replaced this one may be retired now.
        self.to_reselect.insert(row.service.clone());
        true
    }

    /// Records that a link closed. A link that is no longer the current one of its node is ignored.
    pub fn record_link_closed(&mut self, address: SocketAddr, link: &Arc<Link>) {
        let Some(row) = self.rows.get_mut(&address) else {
            return;
        };
        if row
            .link
            .as_ref()
            .is_some_and(|current| Arc::ptr_eq(current, link))
        {
            row.link = None;
            row.status = PeerStatus::default();
            self.to_reselect.insert(row.service.clone());
        }
    }

    /// Records that a link could not be opened. A node that was never reached is replaced at once.
    pub fn record_link_failure(&mut self, request: LinkRequest) {
        if let Some(row) = self.rows.get_mut(&request.address)
            && row.id == request.row_id
            && row.reachability == Reachability::Unknown
        {
            row.reachability = Reachability::NeverReached;
            self.to_reselect.insert(row.service.clone());
        }
    }

    /// Returns whether the row that a request was made for still exists.
    #[must_use]
    pub fn is_wanted(&self, request: LinkRequest) -> bool {
        let row = self.rows.get(&request.address);
        row.is_some_and(|row| row.id == request.row_id)
    }

    /// Forgets the node of a request if it had no contact for `FORGET_UNREACHABLE_AFTER`. Returns
    /// `true` if the caller must stop opening the link: the node is forgotten or has a newer row.
    pub fn forget(&mut self, request: LinkRequest, now: Instant) -> bool {
        let Some(row) = self.rows.get(&request.address) else {
            return true;
        };
        if row.id != request.row_id {
            return true;
        }
        let is_expired = row.link.is_none()
            && now.saturating_duration_since(row.last_contact) > FORGET_UNREACHABLE_AFTER;
        if is_expired {
            let service = row.service.clone();
            self.rows.remove(&request.address);
            self.to_reselect.insert(service);
        }
        is_expired
    }

    /// Forgets unselected nodes that neither a peer nor the registry has named for
    /// `FORGET_UNLINKED_AFTER`.
    pub fn forget_unlinked(&mut self, now: Instant) {
        self.unlinked.retain(|_, node| {
            now.saturating_duration_since(node.last_seen) < FORGET_UNLINKED_AFTER
        });
    }
}
