//! What nodes tell of themselves.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use super::Load;

/// What a node tells of itself when it registers and when it opens a link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Its name.
    pub node: String,
    /// Where it takes links.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Service of the back end beside it.
    pub service: String,
    /// This run of the process.
    pub process: u64,
    /// Slots of the back end beside it; 0 while unknown.
    #[serde(default)]
    pub slots: u32,
}

/// Whether the back end beside a node takes work, as that node says.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[repr(u8)]
pub enum BackendState {
    /// Not known yet, or not reachable.
    #[default]
    Unavailable = 0,
    /// It takes work.
    Ready = 1,
    /// It is leaving.
    Leaving = 2,
    /// It takes work, but its node is about to stop: it is used when there is no other.
    Stopping = 3,
}

impl BackendState {
    /// Whether calls may be sent to it.
    #[must_use]
    pub const fn takes_work(self) -> bool {
        matches!(self, Self::Ready | Self::Stopping)
    }

    /// The state of a wire value.
    #[must_use]
    pub fn from_wire(value: u8) -> Self {
        match value {
            1 => Self::Ready,
            2 => Self::Leaving,
            3 => Self::Stopping,
            _ => Self::Unavailable,
        }
    }
}

/// What a node says of itself while it runs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PeerStatus {
    /// Whether its back end takes work.
    pub backend: BackendState,
    /// How busy its back end is.
    pub load: Load,
    /// Slots of its back end; 0 while unknown.
    pub slots: u32,
    /// Version of its configuration; 0 for none.
    pub version: u64,
    /// Services that its back end called lately.
    pub calls: Vec<Arc<str>>,
}
