//! Options of a duty.

use std::time::Duration;

const DUTY_PREFIX: &str = "tallybridge/duty/";

/// Renewals within the time to live of a lease.
const RENEWALS_PER_TTL: u32 = 3;

/// Name of a duty, with its holder and lease times.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DutyOptions {
    /// Name of the duty, which must be a valid segment of a store key.
    pub name: String,
    /// Name of the node that acquires the duty, for display only.
    pub holder: String,
    /// Time to live of the lease.
    pub ttl: Duration,
    /// Time before the expiry of the lease at which the holder stops, to allow for clocks that
    /// run at different rates.
    pub margin: Duration,
}

impl DutyOptions {
    pub(super) fn renewal_interval(&self) -> Duration {
        self.ttl / RENEWALS_PER_TTL
    }
}

/// Returns the store key of the duty `name`.
#[must_use]
pub fn duty_key(name: &str) -> String {
    format!("{DUTY_PREFIX}{name}")
}
