//! Validates the values of parsed settings.

use super::{MeshSettings, RetrySettings, SettingsError, TenantSettings};

const MIN_WINDOW_MS: u64 = 100;
const MIN_REVOCATION_MS: u64 = 1000;
const MIN_STOP_GRACE_MS: u64 = 500;
const MIN_MEMORY_MB: u32 = 64;

impl MeshSettings {
    pub(super) fn check(&self) -> Result<(), SettingsError> {
        require(
            !self.node.is_empty(),
            "node",
            "is empty",
            "set the name of the node",
        )?;
        require(
            !self.zone.is_empty(),
            "zone",
            "is empty",
            "set the zone of the machine",
        )?;
        require(
            !self.backend.service.is_empty(),
            "backend.service",
            "is empty",
            "set the service of the back end beside the node",
        )?;
        self.retry.check()?;
        self.tenants.check()?;
        require(
            self.stop_grace_ms >= MIN_STOP_GRACE_MS,
            "stop_grace_ms",
            "is below 500",
            "set the time from SIGTERM to SIGKILL in milliseconds, for example 6000",
        )?;
        require(
            self.memory_mb >= MIN_MEMORY_MB,
            "memory_mb",
            "is below 64",
            "set the memory limit of the process in MiB, for example 260",
        )?;
        self.check_addresses()
    }

    /// Rejects two listeners with the same address.
    fn check_addresses(&self) -> Result<(), SettingsError> {
        let listeners = [
            ("peer_address", self.peer_address),
            ("caller_address", self.caller_address),
            ("ready_address", self.ready_address),
            ("report_address", self.report_address),
            ("metrics_address", self.metrics_address),
        ];
        for (index, (name, address)) in listeners.iter().enumerate() {
            // The system assigns a different free port for each use of port 0.
            let conflict = listeners[..index]
                .iter()
                .find(|(_, other)| other == address && address.port() != 0);
            if let Some((other, _)) = conflict {
                return Err(SettingsError {
                    detail: format!("`{name}` and `{other}` are both {address}"),
                    help: "set a different port for each listener".to_owned(),
                });
            }
        }
        Ok(())
    }
}

impl RetrySettings {
    fn check(&self) -> Result<(), SettingsError> {
        require(
            (0.0..=1.0).contains(&self.ratio),
            "retry.ratio",
            "is not between 0 and 1",
            "set the ratio of retries to first attempts, for example 0.2",
        )?;
        require(
            self.window_ms >= MIN_WINDOW_MS,
            "retry.window_ms",
            "is below 100",
            "set the window in milliseconds, for example 10000",
        )
    }
}

impl TenantSettings {
    fn check(&self) -> Result<(), SettingsError> {
        require(
            self.revoke_within_ms
                .is_none_or(|time_ms| time_ms >= MIN_REVOCATION_MS),
            "tenants.revoke_within_ms",
            "is below 1000",
            "set the time in milliseconds within which a revoked key must stop working, \
             for example 5000",
        )?;
        require(
            (0.0..=1.0).contains(&self.quota_overage),
            "tenants.quota_overage",
            "is not between 0 and 1",
            "set the fraction by which a limit may be exceeded, for example 0.1",
        )?;
        require(
            self.quota_window_ms >= MIN_WINDOW_MS,
            "tenants.quota_window_ms",
            "is below 100",
            "set the window in milliseconds, for example 5000",
        )
    }
}

fn require(is_valid: bool, field: &str, problem: &str, help: &str) -> Result<(), SettingsError> {
    if is_valid {
        return Ok(());
    }
    Err(SettingsError {
        detail: format!("`{field}` {problem}"),
        help: help.to_owned(),
    })
}
