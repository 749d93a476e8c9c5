//! Which values of settings can be used.

use super::{MeshSettings, RetrySettings, SettingsError, TenantSettings};

/// Least window of the retry bounds and of limits, in milliseconds. Origin not recorded.
const LEAST_WINDOW_MS: u64 = 100;
/// Least time for the revocation of a key, in milliseconds. Origin not recorded.
const LEAST_REVOCATION_MS: u64 = 1000;
/// Least time between the order to stop and the kill, in milliseconds. Origin not recorded.
const LEAST_STOP_GRACE_MS: u64 = 500;

impl MeshSettings {
    pub(super) fn check(&self) -> Result<(), SettingsError> {
        require(!self.node.is_empty(), "node", "is empty", "name the node")?;
        require(!self.zone.is_empty(), "zone", "is empty", "name the zone")?;
        require(
            !self.backend.service.is_empty(),
            "backend.service",
            "is empty",
            "name the service of the back end beside the node",
        )?;
        self.retry.check()?;
        self.tenants.check()?;
        require(
            self.stop_grace_ms >= LEAST_STOP_GRACE_MS,
            "stop_grace_ms",
            "is below 500",
            "give the time until the process is killed in milliseconds, as 6000",
        )?;
        self.check_addresses()
    }

    /// No two listeners may share an address.
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
}

impl RetrySettings {
    fn check(&self) -> Result<(), SettingsError> {
        require(
            (0.0..=1.0).contains(&self.ratio),
            "retry.ratio",
            "is not between 0 and 1",
            "give the share of requests that may be sent again, as 0.2",
        )?;
        require(
            self.window_ms >= LEAST_WINDOW_MS,
            "retry.window_ms",
            "is below 100",
            "give the window in milliseconds, as 10000",
        )
    }
}

impl TenantSettings {
    fn check(&self) -> Result<(), SettingsError> {
        require(
            self.revoke_within_ms
                .is_none_or(|within| within >= LEAST_REVOCATION_MS),
            "tenants.revoke_within_ms",
            "is below 1000",
            "give the time in which a key that was taken away must stop working in milliseconds, \
             as 5000",
        )?;
        require(
            (0.0..=1.0).contains(&self.quota_overage),
            "tenants.quota_overage",
            "is not between 0 and 1",
            "give the share of a limit by which it may be exceeded, as 0.1",
        )?;
        require(
            self.quota_window_ms >= LEAST_WINDOW_MS,
            "tenants.quota_window_ms",
            "is below 100",
            "give the window in milliseconds, as 5000",
        )
    }
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
