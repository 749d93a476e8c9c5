//! Settings of a mesh node: read from a TOML file and checked as a whole.

use std::{net::SocketAddr, time::Duration};

use serde::Deserialize;

use crate::{policy::PolicySettings, tables::quotas::QuotaSlack};

/// Everything that a mesh node is told. Times are in milliseconds.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct MeshSettings {
    /// Name of the node, unique in the fleet.
    pub node: String,
    /// Zone of its machine.
    pub zone: String,
    /// Region of its machine.
    pub region: String,
    /// Where other nodes connect to.
    pub peer_address: SocketAddr,
    /// Where callers and the back end send requests to.
    pub caller_address: SocketAddr,
    /// Where readiness is asked for.
    pub ready_address: SocketAddr,
    /// Where the back end reports itself.
    pub report_address: SocketAddr,
    /// Where metrics are shown.
    pub metrics_address: SocketAddr,
    /// The platform's store.
    pub store_address: SocketAddr,
    /// The back end beside the node.
    pub backend: BackendSettings,
    /// What bounds repeated requests over the fleet.
    pub retry: RetrySettings,
    /// What holds for keys and limits of tenants.
    #[serde(default)]
    pub tenants: TenantSettings,
    /// Time from the order to stop until the process is killed.
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
    /// Time between its reports.
    pub report_interval_ms: u64,
}

/// Bounds of repeated requests to a service, over all nodes.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
pub struct RetrySettings {
    /// Repeats allowed for each first sending, 0 to 1.
    pub ratio: f64,
    /// Time over which both are counted.
    pub window_ms: u64,
    /// Repeats allowed besides.
    pub slack: u32,
}

/// What holds for keys and limits of tenants, where the configuration has any.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
pub struct TenantSettings {
    /// Time after which a key that was taken away works nowhere: a node that can't tell refuses
    /// requests with keys. Without it, a node goes by the configuration that it has.
    #[serde(default)]
    pub revoke_within_ms: Option<u64>,
    /// Span over which requests are counted against limits, in milliseconds; by default 5000.
    #[serde(default = "default_quota_window_ms")]
    pub quota_window_ms: u64,
    /// Share of a limit by which the requests of all nodes together may exceed it, 0 to 1.
    #[serde(default)]
    pub quota_overage: f64,
    /// Requests of a window that may exceed it on top of that.
    #[serde(default)]
    pub quota_slack: u32,
}

/// Span of the users' rule on limits.
const fn default_quota_window_ms() -> u64 {
    5000
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

impl TenantSettings {
    /// By how much requests may exceed the limits.
    #[must_use]
    pub fn slack(&self) -> QuotaSlack {
        QuotaSlack {
            window: Duration::from_millis(self.quota_window_ms),
            overage: self.quota_overage,
            requests: self.quota_slack.into(),
        }
    }
}

fn default_log() -> String {
    "info".to_owned()
}

/// Where the value of a setting comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SettingOrigin {
    /// The settings file gives it.
    File,
    /// The file leaves it out.
    Default,
}

/// A setting as it is in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingRow {
    /// Its table and name.
    pub name: String,
    /// Its value.
    pub value: String,
    /// Unit of the value.
    pub unit: &'static str,
    /// Where it comes from.
    pub origin: SettingOrigin,
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

impl MeshSettings {
    /// Reads and checks settings. Fields that are not known are passed over, as the platform may
    /// add some.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] naming the field, the line and the mend.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Self = toml::from_str(text).map_err(|error| SettingsError {
            detail: error.to_string().trim_end().to_owned(),
            mend: "give the field that is named a value of the type that is named".to_owned(),
        })?;
        settings.check()?;
        Ok(settings)
    }

    /// The settings that decide how the node treats calls, those of `text` with their defaults.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] naming the field, the line and the mend.
    pub fn effective(text: &str) -> Result<Vec<SettingRow>, SettingsError> {
        let settings = Self::parse(text)?;
        // It has just been read as a table.
        let given: toml::Table = toml::from_str(text).unwrap_or_default();
        let origin = |table: &str, name: &str| {
            let found = given.get(table).and_then(|table| table.get(name));
            found.map_or(SettingOrigin::Default, |_| SettingOrigin::File)
        };
        let row = |table: &str, name: &str, value: String, unit| SettingRow {
            name: format!("{table}.{name}"),
            value,
            unit,
            origin: origin(table, name),
        };
        let retry = settings.retry;
        let mut rows = vec![
            row("retry", "ratio", retry.ratio.to_string(), "repeats a call"),
            row("retry", "window_ms", retry.window_ms.to_string(), "ms"),
            row("retry", "slack", retry.slack.to_string(), "repeats"),
        ];
        let revoke = settings.tenants.revoke_within_ms;
        let revoke = revoke.map_or_else(|| "never".to_owned(), |ms| ms.to_string());
        let tenants = settings.tenants;
        let window = tenants.quota_window_ms.to_string();
        let overage = tenants.quota_overage.to_string();
        let slack = tenants.quota_slack.to_string();
        rows.extend([
            row("tenants", "revoke_within_ms", revoke, "ms"),
            row("tenants", "quota_window_ms", window, "ms"),
            row("tenants", "quota_overage", overage, "of the limit"),
            row("tenants", "quota_slack", slack, "requests"),
        ]);
        for switch in settings.policy.switches() {
            rows.push(row("policy", switch.name, switch.is_on.to_string(), "on"));
        }
        Ok(rows)
    }

    fn check(&self) -> Result<(), SettingsError> {
        require(!self.node.is_empty(), "node", "is empty", "name the node")?;
        require(!self.zone.is_empty(), "zone", "is empty", "name the zone")?;
        require(
            !self.backend.service.is_empty(),
            "backend.service",
            "is empty",
            "name the service of the back end beside the node",
        )?;
        require(
            (0.0..=1.0).contains(&self.retry.ratio),
            "retry.ratio",
            "is not between 0 and 1",
            "give the share of requests that may be sent again, as 0.2",
        )?;
        require(
            self.retry.window_ms >= 100,
            "retry.window_ms",
            "is below 100",
            "give the window in milliseconds, as 10000",
        )?;
        require(
            self.tenants.revoke_within_ms.is_none_or(|ms| ms >= 1000),
            "tenants.revoke_within_ms",
            "is below 1000",
            "give the time in which a key that was taken away must stop working in milliseconds, \
             as 5000",
        )?;
        require(
            (0.0..=1.0).contains(&self.tenants.quota_overage),
            "tenants.quota_overage",
            "is not between 0 and 1",
            "give the share of a limit by which it may be exceeded, as 0.1",
        )?;
        require(
            self.tenants.quota_window_ms >= 100,
            "tenants.quota_window_ms",
            "is below 100",
            "give the window in milliseconds, as 5000",
        )?;
        require(
            self.stop_grace_ms >= 500,
            "stop_grace_ms",
            "is below 500",
            "give the time until the process is killed in milliseconds, as 6000",
        )?;
        self.check_addresses()
    }

    fn check_addresses(&self) -> Result<(), SettingsError> {
        let own = [
            ("peer_address", self.peer_address),
            ("caller_address", self.caller_address),
            ("ready_address", self.ready_address),
            ("report_address", self.report_address),
            ("metrics_address", self.metrics_address),
        ];
        for (index, (name, address)) in own.iter().enumerate() {
            // Port 0 is one that the system gives, another one each time.
            let taken = own[..index]
                .iter()
                .find(|(_, other)| other == address && address.port() != 0);
            if let Some((other, _)) = taken {
                return Err(SettingsError {
                    detail: format!("`{name}` and `{other}` are both {address}"),
                    mend: "give each its own port".to_owned(),
                });
            }
        }
        Ok(())
    }

    /// Names of the fields in which other settings differ that only a start can take in.
    #[must_use]
    pub fn fixed_differences(&self, other: &Self) -> Vec<&'static str> {
        let pairs = [
            ("node", self.node == other.node),
            ("zone", self.zone == other.zone),
            ("region", self.region == other.region),
            (
                "peer_address",
                is_bound_to(self.peer_address, other.peer_address),
            ),
            (
                "caller_address",
                is_bound_to(self.caller_address, other.caller_address),
            ),
            (
                "ready_address",
                is_bound_to(self.ready_address, other.ready_address),
            ),
            (
                "report_address",
                is_bound_to(self.report_address, other.report_address),
            ),
            (
                "metrics_address",
                is_bound_to(self.metrics_address, other.metrics_address),
            ),
            ("store_address", self.store_address == other.store_address),
            ("backend", self.backend == other.backend),
            ("tenants", self.tenants == other.tenants),
            ("policy", self.policy == other.policy),
            ("log", self.log == other.log),
        ];
        let differing = pairs.into_iter().filter(|(_, same)| !same);
        differing.map(|(name, _)| name).collect()
    }

    /// Time between reports of the back end.
    #[must_use]
    pub fn report_interval(&self) -> Duration {
        Duration::from_millis(self.backend.report_interval_ms)
    }
}

/// Whether an address that was bound is the one that settings name, where port 0 names any.
fn is_bound_to(bound: SocketAddr, named: SocketAddr) -> bool {
    bound == named || (named.port() == 0 && bound.ip() == named.ip())
}

fn require(holds: bool, field: &str, wrong: &str, mend: &str) -> Result<(), SettingsError> {
    if holds {
        return Ok(());
    }
    Err(SettingsError {
        detail: format!("`{field}` {wrong}"),
        mend: mend.to_owned(),
    })
}
