//! The other nodes: which are known, which are linked to, and what they told.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use tokio::time::Instant;

use super::{LIST_PAUSE, LISTS_ASKED, Node};
use crate::{
    link::Link,
    protocol::{Load, NodeRecord, PeerStatus},
    tables::{LinkRequest, PeerTable},
};

impl Node {
    /// The introduction of this node. Until its back end has told how many slots it has, it gives
    /// the number that others of the service have, so that the register does not lose it.
    #[must_use]
    pub fn hello(&self) -> Bytes {
        let record = NodeRecord {
            slots: self.own_or_usual_slots(&self.tables()),
            ..self.record.clone()
        };
        // A record of plain fields always has a JSON form.
        serde_json::to_vec(&record).unwrap_or_default().into()
    }

    /// The nodes that this one is linked to.
    #[must_use]
    pub fn known_nodes(&self) -> Bytes {
        let records = self.tables().peers.records();
        serde_json::to_vec(&records).unwrap_or_default().into()
    }

    /// Whether a peer is to be asked for the nodes that it knows: the first few are, and one now and
    /// then while this node could not register. The list grows with the fleet, so not every link
    /// carries it.
    #[must_use]
    pub fn wants_nodes(&self) -> bool {
        let is_registered = self.lease().is_some();
        let now = Instant::now();
        let mut tables = self.tables();
        let rests = tables
            .list_asked_at
            .is_some_and(|at| now.saturating_duration_since(at) < LIST_PAUSE);
        let wants = tables.lists_asked < LISTS_ASKED || (!is_registered && !rests);
        if wants {
            tables.lists_asked += 1;
            tables.list_asked_at = Some(now);
        }
        wants
    }

    /// Takes in a list of nodes that a peer knows.
    pub fn learn_nodes(&self, nodes: &[u8]) {
        let records = serde_json::from_slice(nodes).unwrap_or_else(|error| {
            tracing::warn!(%error, "a peer's list of nodes can't be read");
            Vec::<NodeRecord>::new()
        });
        self.learn_records(records);
    }

    /// Takes in nodes, and opens links to those that are to be linked to.
    pub fn learn_records(&self, records: impl IntoIterator<Item = NodeRecord>) {
        let now = Instant::now();
        let mut tables = self.tables();
        for record in records {
            tables.peers.learn(record, now);
        }
        drop(tables);
        self.settle_links(now);
    }

    /// Opens the links that are wanted and not there.
    pub(super) fn settle_links(&self, now: Instant) {
        let orders = self.tables().peers.settle(now);
        if !orders.is_empty() {
            self.link_requests
                .send_modify(|waiting| waiting.extend(orders));
        }
    }

    /// Waits for links that are to be opened.
    pub async fn next_link_requests(&self) -> Vec<LinkRequest> {
        let mut orders = self.link_requests.subscribe();
        // The sender lives as long as this node.
        let _ = orders.wait_for(|waiting| !waiting.is_empty()).await;
        self.link_requests.send_replace(Vec::new())
    }

    /// A link to a node is open; `false` when it is not wanted any more.
    pub fn peer_connected(&self, order: LinkRequest, record: NodeRecord, link: Arc<Link>) -> bool {
        let peers = &mut self.tables().peers;
        peers.is_wanted(order) && peers.connected(record, link, Instant::now())
    }

    /// The link to a node is lost.
    pub fn peer_disconnected(&self, address: SocketAddr, link: &Arc<Link>) {
        let mut tables = self.tables();
        tables.peers.disconnected(address, link);
        tables.watchers.remove(address);
    }

    /// A link could not be opened.
    pub fn peer_unreachable(&self, order: LinkRequest) {
        self.tables().peers.unreachable(order);
    }

    /// Whether a link is not to be opened again.
    #[must_use]
    pub fn forget_peer(&self, order: LinkRequest) -> bool {
        self.tables().peers.forget(order, Instant::now())
    }

    /// Drops spare nodes that nobody has named for long.
    pub fn forget_unlinked_nodes(&self) {
        self.tables().peers.forget_unlinked(Instant::now());
    }

    /// A node told its status.
    pub fn peer_status(&self, address: SocketAddr, status: PeerStatus) {
        let mut tables = self.tables();
        let version = status.version;
        tables.peers.status(address, status, Instant::now());
        if version > tables.version() {
            self.peer_ahead.notify_one();
        }
        if tables.instance.slots() == 0 {
            self.adopt_slots(&tables);
        }
    }

    /// An answer told how busy its executor is.
    pub fn peer_load(&self, address: SocketAddr, load: Load) {
        self.tables().peers.load(address, load);
    }

    /// Looks at the peer table.
    pub fn with_peers<T>(&self, look: impl FnOnce(&mut PeerTable) -> T) -> T {
        look(&mut self.tables().peers)
    }
}
