//! A node's description of itself: its record, which the registry also stores, and its status.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use deku::prelude::*;
use serde::{Deserialize, Serialize};

use super::{
    Load,
    codec::{put_fields, take_fields},
};

/// Identity of a node, used as its registration in the store and as its hello on each link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Name of the node, from its settings.
    pub node: String,
    /// Address at which the node accepts links.
    pub address: SocketAddr,
    /// Zone of the node, by which peers can prefer nearby executors.
    pub zone: String,
    /// Service of the node's back end.
    pub service: String,
    /// Random number of the node process, which changes with each restart.
    pub process: u64,
    /// Number of slots of the node's back end; 0 while unknown.
    #[serde(default)]
    pub slots: u32,
    /// Whether the node keeps the records of peers in the registry when they request it
    /// ([`Message::Register`](super::Message::Register)). Earlier releases do not. Links tell it,
    /// the registry does not.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub registers_peers: bool,
    /// Whether the node keeps what back ends announce
    /// ([`Message::BackendNotice`](super::Message::BackendNotice)). Earlier releases do not. Links tell
    /// it, the registry does not.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub keeps_notices: bool,
}

/// Whether a node's back end accepts calls, as reported by the node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[repr(u8)]
pub enum BackendState {
    /// The state is not known yet, or the back end is unreachable.
    #[default]
    Unavailable = 0,
    /// The back end accepts calls.
    Ready = 1,
    /// The back end has announced its end and accepts no new calls.
    Leaving = 2,
    /// The back end accepts calls, but its node is about to stop. Other back ends are preferred.
    Stopping = 3,
}

impl BackendState {
    /// Returns whether new calls may be sent to a back end in this state.
    #[must_use]
    pub const fn takes_work(self) -> bool {
        matches!(self, Self::Ready | Self::Stopping)
    }

    /// Decodes a wire value. An unknown value is decoded as [`Self::Unavailable`].
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

/// Status of a node, sent to its peers on a change and in reply to a ping.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PeerStatus {
    /// State of the node's back end.
    pub backend: BackendState,
    /// Load of the node's back end.
    pub load: Load,
    /// Number of slots of the back end; 0 while unknown.
    pub slots: u32,
    /// Version of the node's configuration; 0 if it has none.
    pub version: u64,
    /// Services to which the back end recently made nested calls.
    pub called_services: Vec<Arc<str>>,
}

/// Fixed fields of a status, which precede the names of the called services, separated by
/// [`NAME_SEPARATOR`].
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
        out.extend_from_slice(self.called_services.join(NAME_SEPARATOR).as_bytes());
    }

    pub(super) fn decode(mut payload: Bytes) -> Option<Self> {
        let fields: StatusFields = take_fields(&mut payload)?;
        let names = std::str::from_utf8(&payload).ok()?;
        let called_services = names
            .split(NAME_SEPARATOR)
            .filter(|name| !name.is_empty())
            .map(Arc::from)
            .collect();
        Some(Self {
            backend: BackendState::from_wire(fields.backend),
            load: fields.load,
            slots: fields.slots,
            version: fields.version,
            called_services,
        })
    }
}
