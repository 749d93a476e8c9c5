//! Wire form of socket addresses and node identifiers.

use std::net::{IpAddr, SocketAddr};

use deku::prelude::*;
use tallybridge_core::{InstanceId, NodeId};

/// A [`SocketAddr`] in its wire form.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(
    id_type = "u8",
    endian = "endian",
    ctx = "endian: deku::ctx::Endian",
    ctx_default = "deku::ctx::Endian::Big"
)]
pub enum WireAddress {
    /// An IPv4 address.
    #[deku(id = "4")]
    V4 {
        /// Octets of the address in network byte order.
        octets: [u8; 4],
        /// Port number, for TCP and UDP.
        port: u16,
    },
    /// An IPv6 address without its scope identifier and flow information.
    #[deku(id = "6")]
    V6 {
        /// Octets of the address in network byte order.
        octets: [u8; 16],
        /// Port number, for TCP and UDP.
        port: u16,
    },
}

impl WireAddress {
    /// Returns the encoded size in bytes.
    #[must_use]
    pub const fn encoded_len(&self) -> usize {
        match self {
            Self::V4 { .. } => 7,
            Self::V6 { .. } => 19,
        }
    }
}

impl From<SocketAddr> for WireAddress {
    fn from(address: SocketAddr) -> Self {
        let port = address.port();
        match address.ip() {
            IpAddr::V4(ip) => Self::V4 {
                octets: ip.octets(),
                port,
            },
            IpAddr::V6(ip) => Self::V6 {
                octets: ip.octets(),
                port,
            },
        }
    }
}

impl From<WireAddress> for SocketAddr {
    fn from(address: WireAddress) -> Self {
        match address {
            WireAddress::V4 { octets, port } => Self::from((octets, port)),
            WireAddress::V6 { octets, port } => Self::from((octets, port)),
        }
    }
}

/// A [`NodeId`] in its wire form.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(
    endian = "endian",
    ctx = "endian: deku::ctx::Endian",
    ctx_default = "deku::ctx::Endian::Big"
)]
pub struct WireNode {
    address: WireAddress,
    instance: u64,
}

impl WireNode {
    /// Returns the encoded size in bytes.
    #[must_use]
    pub const fn encoded_len(&self) -> usize {
        self.address.encoded_len() + size_of::<u64>()
    }
}

impl From<NodeId> for WireNode {
    fn from(node: NodeId) -> Self {
        Self {
            address: node.address.into(),
            instance: node.instance.0,
        }
    }
}

impl From<WireNode> for NodeId {
    fn from(node: WireNode) -> Self {
        Self {
            address: node.address.into(),
            instance: InstanceId(node.instance),
        }
    }
}
