//! Messages about other nodes.

use tallybridge_core::NodeId;
use tallybridge_routing::Endpoint;
use xtra::prelude::*;

use super::{NodeActor, now};
use crate::tables::peers::Peer;

/// A node introduced itself.
pub struct PeerSeen(pub Peer);

impl Handler<PeerSeen> for NodeActor {
    type Return = ();

    async fn handle(&mut self, PeerSeen(peer): PeerSeen, _context: &mut Context<Self>) {
        self.tables.peers.insert(peer);
        self.refresh_endpoints();
    }
}

/// A node is gone.
pub struct PeerGone(pub NodeId);

impl Handler<PeerGone> for NodeActor {
    type Return = ();

    async fn handle(&mut self, PeerGone(node): PeerGone, _context: &mut Context<Self>) {
        self.tables.peers.remove(&node);
        self.refresh_endpoints();
    }
}

/// This node begins a planned stop: it takes no new work.
pub struct Leave;

impl Handler<Leave> for NodeActor {
    type Return = ();

    async fn handle(&mut self, _message: Leave, _context: &mut Context<Self>) {
        self.tables.leaving = true;
    }
}

impl NodeActor {
    /// Makes the peers that have a back end, and this node if it has one, the places to send to.
    fn refresh_endpoints(&mut self) {
        let endpoints: Vec<Endpoint> = self
            .tables
            .peers
            .iter()
            .filter_map(|peer| {
                Some(Endpoint {
                    node: peer.node,
                    service: peer.service.clone()?,
                    region: peer.region.clone(),
                    zone: peer.zone.clone(),
                })
            })
            .collect();
        self.tables.endpoints.set_endpoints(endpoints, now());
    }
}
