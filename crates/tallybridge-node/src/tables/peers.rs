//! Other nodes that this node has spoken to.

use std::collections::BTreeMap;

use serde::Serialize;
use tallybridge_core::{NodeId, RegionName, ServiceName, ZoneName};

/// One other node, as it introduced itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Peer {
    /// Who it is.
    pub node: NodeId,
    /// Service of the back end beside it; `None` when it has none.
    pub service: Option<ServiceName>,
    /// Its region.
    pub region: RegionName,
    /// Its zone.
    pub zone: ZoneName,
    /// Its rack; empty when unknown.
    pub rack: String,
}

/// Peers by identity.
#[derive(Debug, Default)]
pub struct PeerTable {
    rows: BTreeMap<NodeId, Peer>,
}

impl PeerTable {
    /// Adds a peer. Another instance at the same address takes the place of the one before.
    pub fn insert(&mut self, peer: Peer) {
        self.rows
            .retain(|node, _| node.address != peer.node.address);
        self.rows.insert(peer.node, peer);
    }

    /// Takes a peer out.
    pub fn remove(&mut self, node: &NodeId) {
        self.rows.remove(node);
    }

    /// All peers, in order of address.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.rows.values()
    }

    /// Number of peers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether no peer is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
