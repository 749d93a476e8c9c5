//! The node's operations on its peers: records of nodes, links, and reports from peers.
//!
//! Locks the [`PeerTable`] and queues the link requests that [`crate::tasks::links`] opens.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
};

use bytes::Bytes;
use serde::Serialize;
use tokio::time::Instant;

use super::Node;
use crate::{
    link::Link,
    protocol::{Load, NodeRecord, PeerStatus},
    tables::{LinkRequest, PeerTable},
};

impl Node {
    /// Returns the record by which this node introduces itself, as JSON. Until the back end reports
    /// its slots, the record has the usual number of its service, so that a restart does not erase
    /// the number from the registry.
    #[must_use]
    pub fn hello(&self) -> Bytes {
        to_json(&self.record_with_slots())
    }

    /// Returns the record that the registry holds of this node, as JSON.
    pub(super) fn registered_record(&self) -> Bytes {
        to_json(&NodeRecord {
            registers_peers: false,
            keeps_notices: false,
            ..self.record_with_slots()
        })
    }

    fn record_with_slots(&self) -> NodeRecord {
        NodeRecord {
            slots: self.effective_slots(&self.tables()),
            ..self.record.clone()
        }
    }

    /// Returns the records of the nodes that this node links to, as a JSON list.
    #[must_use]
    pub fn known_nodes(&self) -> Bytes {
        let records = self.tables().peers.records();
        to_json(&records)
    }

    /// Returns whether to request a peer's list of known nodes, and if so records the request as
    /// sent. The lists of the first peers are always requested, further ones only while this node
    /// is unregistered.
    #[must_use]
    pub fn should_request_nodes(&self) -> bool {
        let is_registered = self.is_registered();
        let mut tables = self.tables();
        tables
            .list_requests
            .take_if_due(is_registered, Instant::now())
    }

    /// Adds the nodes of a peer's JSON list. A list that cannot be decoded is logged and ignored,
    /// since the registry and other peers name the same nodes.
    pub fn learn_nodes(&self, nodes: &[u8]) {
        let records: Vec<NodeRecord> = serde_json::from_slice(nodes).unwrap_or_else(|error| {
            tracing::warn!(%error, "cannot decode a peer's list of nodes; ignoring it");
            Vec::new()
        });
        self.learn_records(records);
    }

    /// Adds nodes to the peer table, and requests links to the nodes that it selects.
    pub fn learn_records(&self, records: impl IntoIterator<Item = NodeRecord>) {
        let now = Instant::now();
        let mut tables = self.tables();
        for record in records {
            if record.address == self.record.address {
                self.was_listed.store(true, Ordering::Relaxed);
            }
            tables.peers.learn(record, now);
        }
        if tables.instance.slots() == 0 {
            self.update_slots(&tables);
        }
        drop(tables);
        self.select_links(now);
    }

    /// Requests the selected links that are not open yet.
    pub(super) fn select_links(&self, now: Instant) {
        let requests = self.tables().peers.select_links(now);
        if !requests.is_empty() {
            self.signals
                .link_requests
                .send_modify(|pending| pending.extend(requests));
        }
    }

    /// Waits for requests to open links, and takes them.
    pub async fn next_link_requests(&self) -> Vec<LinkRequest> {
        let mut requests = self.signals.link_requests.subscribe();
        // Fails only if the sender is dropped, and this node owns the sender.
        let _ = requests.wait_for(|pending| !pending.is_empty()).await;
        self.signals.link_requests.send_replace(Vec::new())
    }

    /// Records an open link to a node. Returns `false` if the link is no longer wanted.
    pub fn peer_connected(
        &self,
        request: LinkRequest,
        record: NodeRecord,
        link: Arc<Link>,
    ) -> bool {
        let peers = &mut self.tables().peers;
        peers.is_wanted(request) && peers.record_link_opened(record, link, Instant::now())
    }

    /// Records that the link to a node closed, and forgets what the node confirmed.
    pub fn peer_disconnected(&self, address: SocketAddr, link: &Arc<Link>) {
        let mut tables = self.tables();
        tables.peers.record_link_closed(address, link);
        tables.watchers.remove(address);
    }

    /// Records a failed attempt to open a link.
    pub fn peer_unreachable(&self, request: LinkRequest) {
        self.tables().peers.record_link_failure(request);
    }

    /// Removes the node of a link that was out of contact for too long. Returns whether to stop
    /// opening the link: its node was removed now or earlier, or was replaced.
    #[must_use]
    pub fn forget_peer(&self, request: LinkRequest) -> bool {
        self.tables().peers.forget(request, Instant::now())
    }

    /// Removes nodes without a link that neither the registry nor a peer has listed for some time.
    pub fn forget_unlinked_nodes(&self) {
        self.tables().peers.forget_unlinked(Instant::now());
    }

    /// Records the status of a peer, and requests its configuration if that is newer.
    pub fn peer_status(&self, address: SocketAddr, status: PeerStatus) {
        let mut tables = self.tables();
        let version = status.version;
        tables.peers.record_status(address, status, Instant::now());
        if version > tables.configuration.version() {
            self.signals.peer_ahead.notify_one();
        }
        if tables.instance.slots() == 0 {
            self.update_slots(&tables);
        }
    }

    /// Records the load of an executor that was reported with an answer.
    pub fn peer_load(&self, address: SocketAddr, load: Load) {
        self.tables().peers.record_load(address, load);
    }

    /// Runs a function on the peer table under the lock of the node's tables. The function must not
    /// call methods of the node.
    pub fn with_peers<T>(&self, operation: impl FnOnce(&mut PeerTable) -> T) -> T {
        operation(&mut self.tables().peers)
    }
}

/// Serializes records to JSON. A failure yields an empty message, which the peer ignores.
fn to_json(records: &impl Serialize) -> Bytes {
    match serde_json::to_vec(records) {
        Ok(json) => json.into(),
        Err(error) => {
            tracing::error!(%error, "cannot serialize node records; sending an empty message");
            Bytes::new()
        }
    }
}
