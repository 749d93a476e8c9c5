//! Links between nodes: one connection for each direction, many streams on it.

pub mod accept;
pub mod body;
pub mod call;
pub mod link;
pub mod links;
pub mod network;
pub mod writer;

use tallybridge_core::{InstanceId, NodeId, RegionName, ServiceName, ZoneName};
use tallybridge_wire::{Hello, Text};

use crate::tables::peers::Peer;

/// Why a peer gave no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PeerFailure {
    /// The message never reached the peer.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The peer may have got the message; its answer will not come.
    #[error("lost: {0}")]
    Lost(String),
}

/// The message by which a node introduces itself.
#[must_use]
pub fn hello_of(peer: &Peer) -> Hello {
    Hello {
        instance: peer.node.instance.0,
        peer_address: Text::new(&peer.node.address.to_string()),
        service: Text::new(peer.service.as_ref().map_or("", ServiceName::as_str)),
        region: Text::new(peer.region.as_str()),
        zone: Text::new(peer.zone.as_str()),
        rack: Text::new(&peer.rack),
    }
}

/// The peer of an introduction, or `None` when its address is none.
#[must_use]
pub fn peer_of(hello: &Hello) -> Option<Peer> {
    let service = hello.service.to_string_lossy();
    Some(Peer {
        node: NodeId {
            address: hello.peer_address.as_str()?.parse().ok()?,
            instance: InstanceId(hello.instance),
        },
        service: (!service.is_empty()).then(|| ServiceName::from(service)),
        region: RegionName::from(hello.region.to_string_lossy()),
        zone: ZoneName::from(hello.zone.to_string_lossy()),
        rack: hello.rack.to_string_lossy(),
    })
}
