//! What the list says of a machine.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tallybridge_core::{RegionName, ServiceName, ZoneName};

/// Whether a machine stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MachineState {
    /// In service.
    Live,
    /// About to be taken away.
    Leaving,
}

/// One machine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Peer address of the machine's node.
    pub peer_address: SocketAddr,
    /// Service of its back end.
    pub service: ServiceName,
    /// Region it stands in.
    pub region: RegionName,
    /// Zone it stands in.
    pub zone: ZoneName,
    /// Whether it stays.
    pub state: MachineState,
}
