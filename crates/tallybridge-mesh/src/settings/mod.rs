//! Settings of a mesh node, read from a TOML file.
//!
//! Owns their form and their defaults; `check` says which values can be used, `effective` lists
//! those by which the node treats calls. The file is laid out by the platform and read again while
//! the node runs ([`tasks::reload`](crate::tasks::reload)).

mod check;
mod effective;

use std::net::SocketAddr;

use serde::Deserialize;

pub use self::effective::{SettingOrigin, SettingRow};
use crate::policy::PolicySettings;

/// Everything that is set for a mesh node.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct MeshSettings {
    /// Name of the node, unique in the fleet.
    pub node: String,
    /// Zone of its machine.
    pub zone: String,
    /// Region of its machine.
    pub region: String,
    /// Address on which the node accepts links of other nodes.
    pub peer_address: SocketAddr,
    /// Address for the requests of callers and of the back end.
    pub caller_address: SocketAddr,
    /// Address for readiness probes.
    pub ready_address: SocketAddr,
    /// Address for the heartbeats of the back end.
    pub report_address: SocketAddr,
    /// Address of the metrics page.
    pub metrics_address: SocketAddr,
    /// The platform's store.
    pub store_address: SocketAddr,
    /// The back end beside the node.
    pub backend: BackendSettings,
    /// Bounds of retries over the fleet.
    pub retry: RetrySettings,
    /// Revocation of keys, and limits of tenants.
    #[serde(default)]
    pub tenants: TenantSettings,
    /// Time from the order to stop until the process is killed, in milliseconds.
    pub stop_grace_ms: u64,
    /// Whether the whole fleet starts for the first time, so that no node knows another.
    #[serde(default)]
    pub new_fleet: bool,
    /// Switches of the policies by which the node decides.
    #[serde(default)]
    pub policy: PolicySettings,
    /// Log filter: `error`, `warn`, `info` or `debug`.
    #[serde(default = "default_log")]
    pub log: String,
}

/// The back end beside a node.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct BackendSettings {
    /// Its service.
    pub service: String,
    /// Its address.
    pub address: SocketAddr,
    /// Time between its heartbeats, in milliseconds. Required and not used.
    pub report_interval_ms: u64,
}

/// Bounds of retries to a service, over all nodes.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
pub struct RetrySettings {
    /// Retries for each first attempt, 0 to 1.
    pub ratio: f64,
    /// Time over which both are counted, in milliseconds.
    pub window_ms: u64,
    /// Retries of a window on top of that.
    pub slack: u32,
}

/// Revocation of keys, and limits of tenants, where the configuration has any.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
pub struct TenantSettings {
    /// Time in milliseconds after which a key that was removed works nowhere: a node that can't
    /// tell refuses requests with keys. Without it, a node goes by the configuration that it has.
    #[serde(default)]
    pub revoke_within_ms: Option<u64>,
    /// Span over which requests are counted against limits, in milliseconds.
    #[serde(default = "default_quota_window_ms")]
    pub quota_window_ms: u64,
    /// Share of a limit by which the requests of all nodes together may exceed it, 0 to 1.
    #[serde(default)]
    pub quota_overage: f64,
    /// Requests of a window that may exceed it on top of that.
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

/// The window of the users' rule on limits, in milliseconds.
const fn default_quota_window_ms() -> u64 {
    5000
}

fn default_log() -> String {
    "info".to_owned()
}

/// Settings that can't be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
#[error("settings: {detail}")]
#[diagnostic(help("{mend}"))]
pub struct SettingsError {
    /// The field, its line where known, and what is wrong with it.
    pub detail: String,
    /// What to do.
    pub mend: String,
}

impl SettingsError {
    fn unreadable(error: &toml::de::Error) -> Self {
        Self {
            detail: error.to_string().trim_end().to_owned(),
            mend: "give the field that is named a value of the type that is named".to_owned(),
        }
    }
}

impl MeshSettings {
    /// Reads and checks settings. Unknown fields are passed over, as the platform may add some.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] naming the field, the line and the mend.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Self =
            toml::from_str(text).map_err(|error| SettingsError::unreadable(&error))?;
        settings.check()?;
        Ok(settings)
    }

    /// Names of the fields that differ in other settings and take effect at a start only.
    #[must_use]
    pub fn fixed_differences(&self, other: &Self) -> Vec<&'static str> {
        let is_same_address =
            |address: fn(&Self) -> SocketAddr| is_bound_to(address(self), address(other));
        let pairs = [
            ("node", self.node == other.node),
            ("zone", self.zone == other.zone),
            ("region", self.region == other.region),
            ("peer_address", is_same_address(|of| of.peer_address)),
            ("caller_address", is_same_address(|of| of.caller_address)),
            ("ready_address", is_same_address(|of| of.ready_address)),
            ("report_address", is_same_address(|of| of.report_address)),
            ("metrics_address", is_same_address(|of| of.metrics_address)),
            ("store_address", self.store_address == other.store_address),
            ("backend", self.backend == other.backend),
            ("tenants", self.tenants == other.tenants),
            ("policy", self.policy == other.policy),
            ("log", self.log == other.log),
        ];
        let differing = pairs.into_iter().filter(|(_, is_same)| !is_same);
        differing.map(|(name, _)| name).collect()
    }
}

/// Whether an address that was bound is the one that settings name, where port 0 names any.
fn is_bound_to(bound: SocketAddr, named: SocketAddr) -> bool {
    bound == named || (named.port() == 0 && bound.ip() == named.ip())
}
