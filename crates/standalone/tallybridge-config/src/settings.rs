//! A node's settings: read once from a file and flags, then never changed.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tallybridge_core::{RegionName, ServiceName, ZoneName};

/// Everything a node must be told to start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Address for peers: connections over TCP, probes over UDP.
    pub peer_address: SocketAddr,
    /// Address for callers and for nested calls of the back end, HTTP.
    pub caller_address: SocketAddr,
    /// Address for metrics and status, HTTP.
    pub admin_address: SocketAddr,
    /// Region of the machine.
    pub region: RegionName,
    /// Zone of the machine.
    pub zone: ZoneName,
    /// Rack of the machine, to spread claim replicas; empty when unknown.
    #[serde(default)]
    pub rack: String,
    /// The back end beside this node; absent on a node that only takes calls in.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub backend: Option<BackendSettings>,
    /// Addresses of the configuration store.
    pub store: Vec<SocketAddr>,
    /// Address of the platform's machine list.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub machine_list: Option<SocketAddr>,
    /// Peer addresses to join through, besides those of the machine list.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Log filter, in the syntax of `tracing`'s `EnvFilter`.
    #[serde(default = "default_log")]
    pub log: String,
    /// Longest time a planned stop waits for calls in flight, in milliseconds.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: u32,
}

/// The back end beside a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendSettings {
    /// Service that the back end belongs to.
    pub service: ServiceName,
    /// The back end's HTTP address.
    pub address: SocketAddr,
    /// Most connections the node opens to it; below what the back end accepts.
    #[serde(default = "default_max_connections")]
    pub max_connections: u16,
    /// First concurrency limit, until latency has been observed.
    #[serde(default = "default_initial_limit")]
    pub initial_limit: u16,
}

pub(crate) fn default_log() -> String {
    "info".to_owned()
}

pub(crate) const fn default_drain_ms() -> u32 {
    30_000
}

pub(crate) const fn default_max_connections() -> u16 {
    64
}

pub(crate) const fn default_initial_limit() -> u16 {
    8
}
