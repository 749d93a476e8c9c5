//! How many requests a tenant's owner may let a window hold.

use std::time::Duration;

use crate::{configuration::tenants::RateLimit, settings::TenantSettings};

/// Part of what is allowed beyond a limit with which a new owner's bucket begins. An owner may be
/// replaced several times within a window, and for a moment two nodes may act as owner: a quarter
/// covers three changes with room for that, even if the bucket had just been emptied each time.
/// With a half, `tests/quota.rs` counts 104 requests of 103 allowed with three changes. An empty
/// bucket refused tenants that were within their limits after a loss of all nodes: a recorded day
/// with such a loss gave 0.755 of the value of its requests, and 0.809 with a half
/// (`docs/design/quotas.md`).
const FIRST_PART: f64 = 0.25;

/// Part of what is allowed beyond a limit up to which a window is filled. The rest covers what
/// entries have admitted and not reported yet, and the parts in which they count. Without the bound
/// `tests/quota.rs` counts 153 requests of 152 allowed with a new owner each 0.5 to 1.5 s. Origin
/// of the figure not recorded.
const MOST_PART: f64 = 0.25;

/// By how much the requests of a tenant may exceed its limit, over all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaSlack {
    /// The span over which requests are counted.
    pub window: Duration,
    /// Share of the limit by which they may exceed it, 0 to 1.
    pub overage: f64,
    /// Requests of a window that may come on top of that.
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
    /// Tokens with which the bucket of a new owner begins.
    pub(super) fn first_level(self, limit: RateLimit) -> f64 {
        self.beyond(limit) * FIRST_PART
    }

    /// Requests within a window from which on an owner gives no token, whatever its bucket holds.
    pub(super) fn most_in_window(self, limit: RateLimit) -> f64 {
        self.by_limit(limit) + self.beyond(limit) * MOST_PART
    }

    /// Requests that a window may hold by the limit itself.
    fn by_limit(self, limit: RateLimit) -> f64 {
        limit.per_second * self.window.as_secs_f64() + limit.burst
    }

    /// Requests that users allow beyond that.
    fn beyond(self, limit: RateLimit) -> f64 {
        self.by_limit(limit) * self.overage + self.requests
    }
}
