//! Limits how many requests of a tenant an owner may admit within a window.

use std::time::Duration;

use super::entry::TOKEN_LIFETIME;
use crate::{configuration::tenants::RateLimit, settings::TenantSettings};

/// Fraction of the allowed excess, less the tokens that entries may store, that a new owner grants evenly
/// over its first window in addition to the limit. Any number of successive owners grant together at most
/// this much within a window, even if none of them knows what the others granted.
const NEW_OWNER_EXCESS_FRACTION: f64 = 0.8;

/// Fraction of the allowed excess up to which an owner fills a window. The rest covers requests
/// that entries have admitted and not yet reported.
const WINDOW_EXCESS_FRACTION: f64 = 0.25;

/// Allowed excess of a tenant over its limit, summed over all nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaSlack {
    /// Time over which requests are counted.
    pub window: Duration,
    /// Allowed excess as a fraction of the limit, 0 to 1.
    pub overage: f64,
    /// Additional requests allowed in each window.
    pub requests: f64,
}

impl From<TenantSettings> for QuotaSlack {
    fn from(settings: TenantSettings) -> Self {
        Self {
            window: Duration::from_millis(settings.quota_window_ms),
            overage: settings.quota_overage,
            requests: settings.quota_slack.into(),
        }
    }
}

impl QuotaSlack {
    /// Returns the tokens per second that a new owner grants during its first window in addition to the
    /// limit.
    pub(super) fn new_owner_supplement(self, limit: RateLimit) -> f64 {
        let window = self.window.as_secs_f64().max(f64::MIN_POSITIVE);
        let stored_at_entries = limit.per_second * TOKEN_LIFETIME.as_secs_f64();
        let excess = (self.allowed_excess(limit) - stored_at_entries).max(0.0);
        excess * NEW_OWNER_EXCESS_FRACTION / window
    }

    /// Returns the number of requests within a window above which an owner grants no token, even if
    /// its bucket holds one.
    pub(super) fn max_in_window(self, limit: RateLimit) -> f64 {
        self.limit_in_window(limit) + self.allowed_excess(limit) * WINDOW_EXCESS_FRACTION
    }

    /// Returns the number of requests that the limit itself allows in a window.
    fn limit_in_window(self, limit: RateLimit) -> f64 {
        limit.per_second * self.window.as_secs_f64() + limit.burst
    }

    /// Returns the number of requests that a window may hold in addition to the limit.
    fn allowed_excess(self, limit: RateLimit) -> f64 {
        self.limit_in_window(limit) * self.overage + self.requests
    }
}
