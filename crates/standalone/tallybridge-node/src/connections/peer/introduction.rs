//! How nodes introduce themselves on a fresh connection.

use tallybridge_core::{InstanceId, NodeId, RegionName, ServiceName, ZoneName};
use tallybridge_wire::{Hello, Text};

/// A node, as it introduces itself.
#[derive(Debug, Clone, PartialEq, Eq)]
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

impl Peer {
    /// The message by which the node introduces itself.
    #[must_use]
    pub fn hello(&self) -> Hello {
        Hello {
            instance: self.node.instance.0,
            peer_address: Text::new(&self.node.address.to_string()),
            service: Text::new(self.service.as_ref().map_or("", ServiceName::as_str)),
            region: Text::new(self.region.as_str()),
            zone: Text::new(self.zone.as_str()),
            rack: Text::new(&self.rack),
        }
    }

    /// The node of an introduction, or `None` when its address is malformed.
    #[must_use]
    pub fn of_hello(hello: &Hello) -> Option<Self> {
        let service = hello.service.to_string_lossy();
        Some(Self {
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
}
