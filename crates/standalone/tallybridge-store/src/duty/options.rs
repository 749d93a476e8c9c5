//! Which duty is held, by whom and for how long.

use std::time::Duration;

/// Prefix of the store keys of all duties.
const DUTY_PREFIX: &str = "tallybridge/duty/";

/// Renewals tried within one life of the lease.
const RENEWALS_PER_TTL: u32 = 3;

/// A duty and how it is held.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DutyOptions {
    /// Name of the duty; a valid segment of a store key.
    pub name: String,
    /// Who wants to hold it, for people to read.
    pub holder: String,
    /// Time the lease lives without renewal.
    pub ttl: Duration,
    /// Time by which the holder stops before the lease can lapse, for clocks that run at
    /// different rates.
    pub margin: Duration,
}

impl DutyOptions {
    /// The time between renewals while they succeed.
    pub(super) fn renewal_interval(&self) -> Duration {
        self.ttl / RENEWALS_PER_TTL
    }
}

/// Store key of a duty.
#[must_use]
pub fn duty_key(name: &str) -> String {
    format!("{DUTY_PREFIX}{name}")
}
