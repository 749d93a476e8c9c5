//! What a node says of itself: its record, which is also stored in the registry, and its status.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use deku::prelude::*;
use serde::{Deserialize, Serialize};

use super::{
    Load,
    codec::{put_fields, take_fields},
};

/// What identifies a node: its registration in the store, and its hello on each link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Its name, as its settings give it.
    pub node: String,
    /// Where it accepts links.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Service of the back end beside it.
    pub service: String,
    /// Number drawn when its process started, so that a restart shows.
    pub process: u64,
    /// Slots of the back end beside it; 0 while unknown.
    #[serde(default)]
    pub slots: u32,
}

/// Whether the back end beside a node accepts calls, as that node says.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[repr(u8)]
pub enum BackendState {
    /// Not known yet, or not reachable.
    #[default]
    Unavailable = 0,
    /// It accepts calls.
    Ready = 1,
    /// It is leaving.
    Leaving = 2,
    /// It accepts calls, but its node is about to stop: it is chosen when there is no other.
    Stopping = 3,
}

impl BackendState {
    /// Whether calls may be sent to it.
    #[must_use]
    pub const fn takes_work(self) -> bool {
        matches!(self, Self::Ready | Self::Stopping)
    }

    /// The state of a wire value. One that this node does not know reads as unavailable.
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

/// What a node sends to its peers when it changes, and in answer to a ping.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PeerStatus {
    /// Whether its back end accepts calls.
    pub backend: BackendState,
    /// Load of its back end.
    pub load: Load,
    /// Slots of its back end; 0 while unknown.
    pub slots: u32,
    /// Version of its configuration; 0 for none.
    pub version: u64,
    /// Services that its back end recently made nested calls to.
    pub calls: Vec<Arc<str>>,
}

/// The names of the called services follow, separated by [`NAME_SEPARATOR`].
#[derive(Debug, DekuRead, DekuWrite)]
#[deku(endian = "big")]
struct StatusFields {
    backend: u8,
    slots: u32,
    version: u64,
    load: Load,
}

const NAME_SEPARATOR: &str = "\n";

impl PeerStatus {
    pub(super) fn encode(&self, out: &mut Vec<u8>) {
        let fields = StatusFields {
            backend: self.backend as u8,
            slots: self.slots,
            version: self.version,
            load: self.load,
        };
        put_fields(&fields, out);
        out.extend_from_slice(self.calls.join(NAME_SEPARATOR).as_bytes());
    }

    pub(super) fn decode(mut payload: Bytes) -> Option<Self> {
        let fields: StatusFields = take_fields(&mut payload)?;
        let names = std::str::from_utf8(&payload).ok()?;
        let calls = names
            .split(NAME_SEPARATOR)
            .filter(|name| !name.is_empty())
            .map(Arc::from)
            .collect();
        Some(Self {
            backend: BackendState::from_wire(fields.backend),
            load: fields.load,
            slots: fields.slots,
            version: fields.version,
            calls,
        })
    }
}
