//! Settings of a back end stand-in.

use std::{net::SocketAddr, path::PathBuf};

use serde::{Deserialize, Serialize};
use tallybridge_core::ServiceName;

use crate::scenario::ServiceTime;

/// Everything that a back end stand-in must be told.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendSettings {
    /// Name, `service-number`.
    pub name: String,
    /// Service it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Caller address of the node beside it, for nested calls.
    pub caller_address: SocketAddr,
    /// Calls that it runs at once.
    pub slots: usize,
    /// Calls that wait for a slot before it sheds.
    pub queue: usize,
    /// Connections that it accepts.
    pub connections: usize,
    /// What accepting a connection costs, in milliseconds.
    pub connection_cost_ms: f64,
    /// How long it stays cold after its start, in milliseconds.
    pub cold_start_ms: u64,
    /// How many times slower it works while cold.
    pub cold_factor: f64,
    /// Age of what health and load tell, in milliseconds.
    pub health_lag_ms: u64,
    /// Seed of its service times.
    pub seed: u64,
    /// What it answers.
    pub endpoints: Vec<EndpointSettings>,
    /// File to which it appends what it executes; it outlives a kill.
    pub execution_log: PathBuf,
}

/// What a back end does for one path.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSettings {
    /// First path segment.
    pub path: String,
    /// Own work, without nested calls.
    pub service_time: ServiceTime,
    /// Size of a whole answer, in bytes.
    pub answer_bytes: usize,
    /// Whether a call holds a slot.
    pub takes_slot: bool,
    /// Nested calls, made one after the other.
    pub calls: Vec<NestedCallSettings>,
}

/// A nested call, with what the caller must know of the called endpoint.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NestedCallSettings {
    /// Service called.
    pub service: ServiceName,
    /// Path called.
    pub path: String,
    /// HTTP method.
    pub method: String,
    /// How often the back end tries again.
    pub retries: u32,
    /// Size of the whole answer, in bytes.
    pub answer_bytes: usize,
}
