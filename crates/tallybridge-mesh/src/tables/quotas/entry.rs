//! Tokens that an entry stores, and the number of tokens that it requests from an owner.

use std::{collections::HashMap, sync::Arc, time::Duration};

use super::{epochs::FleetSpending, spending::EntrySpending};
use crate::clock::BootInstant;
use crate::protocol::{EpochSpending, WindowSpending};

/// Lifetime of prefetched tokens. It is short because unused tokens at entries are missing from the
/// bucket of the owner.
pub(super) const TOKEN_LIFETIME: Duration = Duration::from_millis(250);
/// Time, in seconds, for which an entry prefetches the tokens that a tenant is expected to need. A
/// tenant that sends fewer than ten requests per second to the entry gets no prefetched tokens.
const PREFETCH_SECONDS: f64 = 0.1;
/// Time constant, in seconds, of the decaying request rate.
const RATE_DECAY_SECONDS: f64 = 1.0;
/// Maximum time for which an entry refuses requests without contacting the owner. It must be
/// shorter than the 55 ms for which a new owner collects reports of earlier grants.
const MAX_LOCAL_REFUSAL: Duration = Duration::from_millis(50);
/// Time without a request after which the state of a tenant is dropped.
const FORGET_IDLE_AFTER: Duration = Duration::from_secs(30);

/// Decision that an entry makes without contacting the owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TokenAnswer {
    /// The request is admitted with a stored token.
    Admitted,
    /// The owner recently reported that the tenant is at its limit. Contains the time after which
    /// to retry.
    AtLimit(Duration),
    /// The entry must request tokens from the owner.
    RequestTokens {
        /// Tokens to prefetch in addition to the first.
        extra_tokens: u32,
        /// Requests of the tenant that this entry admitted within the last window.
        admitted: u32,
        /// Grants of all owners within the last window, as far as this entry knows.
        spending: WindowSpending,
    },
}

/// Tokens that one entry stores for each tenant.
#[derive(Debug)]
pub struct EntryTokens {
    tenants: HashMap<Arc<str>, TenantState>,
    window: Duration,
}

impl EntryTokens {
    /// Creates an empty table; `window` is the time over which requests are counted against a
    /// limit.
    #[must_use]
    pub fn new(window: Duration) -> Self {
        Self {
            tenants: HashMap::new(),
            window,
        }
    }

    /// Decides on a request of a tenant and takes a stored token if one is available.
    pub fn take_token(&mut self, tenant: &Arc<str>, now: BootInstant) -> TokenAnswer {
        let window = self.window;
        let state = self.tenant_state(tenant, now);
        state.record_request(now);
        if state.tokens > 0 && now < state.tokens_expire_at {
            state.tokens -= 1;
            state.admitted.record(window, now);
            return TokenAnswer::Admitted;
        }
        if now < state.at_limit_until {
            return TokenAnswer::AtLimit(state.retry_after);
        }
        TokenAnswer::RequestTokens {
            extra_tokens: (state.request_rate * PREFETCH_SECONDS) as u32,
            admitted: state.admitted.in_window(window, now),
            spending: state.fleet_spending.report(now),
        }
    }

    /// Records a grant of the owner. One token admits a request now, and the others are stored.
    /// `spending` holds the grants within the last window that the owner knows.
    pub fn record_grant(
        &mut self,
        tenant: &Arc<str>,
        tokens: u32,
        spending: &[EpochSpending],
        now: BootInstant,
    ) {
        let window = self.window;
        let state = self.tenant_state(tenant, now);
        state.admitted.record(window, now);
        state.fleet_spending.merge(spending, now);
        self.store_tokens(tenant, tokens.saturating_sub(1), now);
    }

    /// Stores prefetched tokens, or a token whose request did not run.
    pub fn store_tokens(&mut self, tenant: &Arc<str>, tokens: u32, now: BootInstant) {
        if tokens == 0 {
            return;
        }
        let state = self.tenant_state(tenant, now);
        if now >= state.tokens_expire_at {
            state.tokens = 0;
        }
        state.tokens += tokens;
        state.tokens_expire_at = now + TOKEN_LIFETIME;
    }

    /// Records that the owner refused a token because the tenant is at its limit. `wait` is the
    /// time after which to retry, and `spending` holds the grants within the last window that the
    /// owner knows.
    pub fn record_limit_reached(
        &mut self,
        tenant: &Arc<str>,
        wait: Duration,
        spending: &[EpochSpending],
        now: BootInstant,
    ) {
        let state = self.tenant_state(tenant, now);
        state.fleet_spending.merge(spending, now);
        state.at_limit_until = now + wait.min(MAX_LOCAL_REFUSAL);
        state.retry_after = wait;
    }

    /// Drops the state of tenants that have sent no request recently.
    pub fn forget_idle(&mut self, now: BootInstant) {
        self.tenants.retain(|_, state| {
            now.saturating_duration_since(state.rate_updated_at) < FORGET_IDLE_AFTER
        });
    }

    fn tenant_state(&mut self, tenant: &Arc<str>, now: BootInstant) -> &mut TenantState {
        let window = self.window;
        self.tenants
            .entry(tenant.clone())
            .or_insert_with(|| TenantState {
                tokens: 0,
                tokens_expire_at: now,
                request_rate: 0.0,
                rate_updated_at: now,
                at_limit_until: now,
                retry_after: Duration::ZERO,
                admitted: EntrySpending::default(),
                fleet_spending: FleetSpending::new(window),
            })
    }
}

/// State of one tenant at an entry.
#[derive(Debug)]
struct TenantState {
    tokens: u32,
    tokens_expire_at: BootInstant,
    /// Requests per second, with exponential decay.
    request_rate: f64,
    rate_updated_at: BootInstant,
    /// Time until which requests are refused without contacting the owner.
    at_limit_until: BootInstant,
    /// Time after which to retry, from the last refusal of the owner.
    retry_after: Duration,
    /// Requests that this entry admitted, whichever node was the owner.
    admitted: EntrySpending,
    /// Known grants of all owners, which the entry reports to the next owner.
    fleet_spending: FleetSpending,
}

impl TenantState {
    fn record_request(&mut self, now: BootInstant) {
        let elapsed = now
            .saturating_duration_since(self.rate_updated_at)
            .as_secs_f64();
        self.request_rate =
            self.request_rate * (-elapsed / RATE_DECAY_SECONDS).exp() + 1.0 / RATE_DECAY_SECONDS;
        self.rate_updated_at = now;
    }
}
