//! Settings of a mesh node, read from a TOML file.
//!
//! Owns the format and the defaults; `check` validates the values, `effective` lists the settings
//! in force. The platform writes the file, and [`tasks::reload`](crate::tasks::reload) reads it
//! again while the node runs.

mod check;
mod effective;

use std::net::SocketAddr;

use serde::Deserialize;

pub use self::effective::{SettingOrigin, SettingRow};
use crate::policy::PolicySettings;

const BYTES_PER_MIB: usize = 1 << 20;

/// All settings of a mesh node.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct MeshSettings {
    /// Name of the node, unique in the fleet.
    pub node: String,
    /// Zone of the node's machine.
    pub zone: String,
    /// Region of the node's machine.
    pub region: String,
    /// Address on which the node accepts links of other nodes.
    pub peer_address: SocketAddr,
    /// Address for requests of callers and nested calls of the back end.
    pub caller_address: SocketAddr,
    /// Address for readiness probes.
    pub ready_address: SocketAddr,
    /// Address for the heartbeats of the back end.
    pub report_address: SocketAddr,
    /// Address for metrics requests.
    pub metrics_address: SocketAddr,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// The back end beside the node.
    pub backend: BackendSettings,
    /// Limits on retries to each service, over all nodes.
    pub retry: RetrySettings,
    /// Revocation of keys, and limits of tenants.
    #[serde(default)]
    pub tenants: TenantSettings,
    /// Time between SIGTERM and SIGKILL, in milliseconds.
    pub stop_grace_ms: u64,
    /// Memory in MiB at which the platform kills the process. Bounds the answers of the back end that are
    /// being read.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u32,
    /// Whether this is the first start of the whole fleet, when no node knows another one yet.
    #[serde(default)]
    pub new_fleet: bool,
    /// On/off switches of the individual policies.
    #[serde(default)]
    pub policy: PolicySettings,
    /// Log filter: `error`, `warn`, `info` or `debug`.
    #[serde(default = "default_log")]
    pub log: String,
}

/// The back end beside a node.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct BackendSettings {
    /// Name of the service that the back end belongs to.
    pub service: String,
    /// Address at which the back end accepts requests.
    pub address: SocketAddr,
    /// Time between heartbeats, in milliseconds. Required but not used.
    pub report_interval_ms: u64,
}

/// Limits on retries to a service, over all nodes.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
pub struct RetrySettings {
    /// Maximum ratio of retries to first attempts, 0 to 1.
    pub ratio: f64,
    /// Window over which retries and first attempts are counted, in milliseconds.
    pub window_ms: u64,
    /// Retries per window that are allowed in addition to `ratio`.
    pub slack: u32,
}

/// Key revocation and rate limits, for configurations that have tenants.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
pub struct TenantSettings {
    /// Time in milliseconds within which every node rejects a removed key. A node that cannot
    /// confirm its configuration in that time refuses requests with keys. `None` allows a
    /// configuration of any age.
    #[serde(default)]
    pub revoke_within_ms: Option<u64>,
    /// Window over which requests are counted against limits, in milliseconds.
    #[serde(default = "default_quota_window_ms")]
    pub quota_window_ms: u64,
    /// Fraction by which requests over all nodes may exceed a limit, 0 to 1.
    #[serde(default)]
    pub quota_overage: f64,
    /// Requests per window that may exceed a limit in addition to `quota_overage`.
    #[serde(default)]
    pub quota_slack: u32,
}

impl Default for TenantSettings {
    fn default() -> Self {
        Self {
            revoke_within_ms: None,
            quota_window_ms: default_quota_window_ms(),
            quota_overage: 0.0,
            quota_slack: 0,
        }
    }
}

const fn default_quota_window_ms() -> u64 {
    5000
}

const fn default_memory_mb() -> u32 {
    160
}

fn default_log() -> String {
    "info".to_owned()
}

/// Why settings are rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
#[error("settings: {detail}")]
#[diagnostic(help("{help}"))]
pub struct SettingsError {
    /// The field, its line if known, and the problem.
    pub detail: String,
    /// How to correct the settings.
    pub help: String,
}

impl SettingsError {
    fn from_toml(error: &toml::de::Error) -> Self {
        Self {
            detail: error.to_string().trim_end().to_owned(),
            help: "correct the syntax, or set the named field to a value of the named type"
                .to_owned(),
        }
    }
}

impl MeshSettings {
    /// Parses and validates settings. Ignores unknown fields, since the platform may add some.
    ///
    /// # Errors
    ///
    /// Returns a [`SettingsError`] that names the field, its line if known, and the correction.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Self =
            toml::from_str(text).map_err(|error| SettingsError::from_toml(&error))?;
        settings.check()?;
        Ok(settings)
    }

    /// Returns the memory of the process in bytes.
    #[must_use]
    pub const fn memory_bytes(&self) -> usize {
        self.memory_mb as usize * BYTES_PER_MIB
    }

    /// Returns the names of the fields that differ in `other` and take effect only at a restart.
    ///
    /// Addresses with port 0 in `other` match any port of the same host.
    #[must_use]
    pub fn changes_requiring_restart(&self, other: &Self) -> Vec<&'static str> {
        let is_same_address =
            |address: fn(&Self) -> SocketAddr| is_bound_to(address(self), address(other));
        let comparisons = [
            ("node", self.node == other.node),
            ("zone", self.zone == other.zone),
            ("region", self.region == other.region),
            (
                "peer_address",
                is_same_address(|settings| settings.peer_address),
            ),
            (
                "caller_address",
                is_same_address(|settings| settings.caller_address),
            ),
            (
                "ready_address",
                is_same_address(|settings| settings.ready_address),
            ),
            (
                "report_address",
                is_same_address(|settings| settings.report_address),
            ),
            (
                "metrics_address",
                is_same_address(|settings| settings.metrics_address),
            ),
            ("store_address", self.store_address == other.store_address),
            ("memory_mb", self.memory_mb == other.memory_mb),
            ("backend", self.backend == other.backend),
            ("tenants", self.tenants == other.tenants),
            ("policy", self.policy == other.policy),
            ("log", self.log == other.log),
        ];
        let differing = comparisons.into_iter().filter(|(_, is_same)| !is_same);
        differing.map(|(name, _)| name).collect()
    }
}

/// Returns whether a bound address matches the configured one. Port 0 matches any port.
fn is_bound_to(bound: SocketAddr, configured: SocketAddr) -> bool {
    bound == configured || (configured.port() == 0 && bound.ip() == configured.ip())
}
