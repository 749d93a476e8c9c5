//! Tokens that an entry holds, and how many it asks for.

use std::{collections::HashMap, sync::Arc, time::Duration};

use super::{epochs::FleetSpending, spending::EntrySpending};
use crate::clock::BootInstant;
use crate::protocol::{EpochSpending, WindowSpending};

/// Life of tokens that were asked for ahead. What all entries hold together lies outside of the
/// home's bucket, so it must be little beside the overage that users allow (a tenth of five
/// seconds' worth).
const TOKEN_LIFE: Duration = Duration::from_millis(250);
/// Part of a second for which tokens are asked ahead. Tenants that send fewer than ten requests a
/// second to an entry are asked for one by one.
const AHEAD_S: f64 = 0.1;
/// Weight of a second's requests in the rate by which tokens are asked ahead.
const RATE_DECAY_S: f64 = 1.0;
/// Longest time for which requests are refused without asking the home again: shorter than a new home waits
/// to be told what was let in.
const SPENT_MAX: Duration = Duration::from_millis(50);
/// Time without a request after which a tenant's row is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(30);

#[derive(Debug)]
struct HeldRow {
    tokens: u32,
    expire_at: BootInstant,
    /// Requests a second, decaying.
    rate: f64,
    rate_at: BootInstant,
    spent_until: BootInstant,
    spent_wait: Duration,
    spending: EntrySpending,
    fleet: FleetSpending,
}

/// What an entry can say of a request without asking the tenant's home.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TokenAnswer {
    /// It held a token, which is spent now.
    Admitted,
    /// The home said a moment ago that the tenant is at its limit.
    Spent(Duration),
    /// A token is to be asked for.
    Ask {
        /// Tokens that are wanted besides.
        ahead: u32,
        /// Requests that were let in within the last window.
        spent: u32,
        /// What homes gave out, as they told this entry.
        fleet: WindowSpending,
    },
}

/// Tokens of one entry, by the tenant's name.
#[derive(Debug)]
pub struct EntryTokens {
    rows: HashMap<Arc<str>, HeldRow>,
    window: Duration,
}

impl EntryTokens {
    /// No tokens. `window` is the span over which a limit holds.
    #[must_use]
    pub fn new(window: Duration) -> Self {
        Self {
            rows: HashMap::new(),
            window,
        }
    }

    /// A request of a tenant has come.
    pub fn request(&mut self, tenant: &Arc<str>, now: BootInstant) -> TokenAnswer {
        let window = self.window;
        let row = self.row(tenant, now);
        row.note_request(now);
        if row.tokens > 0 && now < row.expire_at {
            row.tokens -= 1;
            row.spending.note(window, now);
            return TokenAnswer::Admitted;
        }
        if now < row.spent_until {
            return TokenAnswer::Spent(row.spent_wait);
        }
        TokenAnswer::Ask {
            ahead: (row.rate * AHEAD_S) as u32,
            spent: row.spending.within(window, now),
            fleet: row.fleet.tell(now),
        }
    }

    /// The home gave tokens: one for a request that is let in, the others are kept. `fleet` is what
    /// it knows that all entries let in within the last window.
    pub fn granted(
        &mut self,
        tenant: &Arc<str>,
        tokens: u32,
        fleet: &[EpochSpending],
        now: BootInstant,
    ) {
        let window = self.window;
        let row = self.row(tenant, now);
        row.spending.note(window, now);
        row.fleet.hear(fleet, now);
        self.keep(tenant, tokens.saturating_sub(1), now);
    }

    /// Tokens came beyond the one that a request needs, or one was not used after all.
    pub fn keep(&mut self, tenant: &Arc<str>, tokens: u32, now: BootInstant) {
        if tokens == 0 {
            return;
        }
        let row = self.row(tenant, now);
        if now >= row.expire_at {
            row.tokens = 0;
        }
        row.tokens += tokens;
        row.expire_at = now + TOKEN_LIFE;
    }

    /// The home says that the tenant is at its limit, with the time after which to come back and
    /// what it knows that all entries let in within the last window.
    pub fn spent(
        &mut self,
        tenant: &Arc<str>,
        wait: Duration,
        fleet: &[EpochSpending],
        now: BootInstant,
    ) {
        let row = self.row(tenant, now);
        row.fleet.hear(fleet, now);
        row.spent_until = now + wait.min(SPENT_MAX);
        row.spent_wait = wait;
    }

    /// Forgets tenants that send nothing.
    pub fn forget_idle(&mut self, now: BootInstant) {
        self.rows
            .retain(|_, row| now.saturating_duration_since(row.rate_at) < FORGET_AFTER);
    }

    fn row(&mut self, tenant: &Arc<str>, now: BootInstant) -> &mut HeldRow {
        let window = self.window;
        self.rows.entry(tenant.clone()).or_insert_with(|| HeldRow {
            tokens: 0,
            expire_at: now,
            rate: 0.0,
            rate_at: now,
            spent_until: now,
            spent_wait: Duration::ZERO,
            spending: EntrySpending::default(),
            fleet: FleetSpending::new(window),
        })
    }
}

impl HeldRow {
    fn note_request(&mut self, now: BootInstant) {
        let elapsed = now.saturating_duration_since(self.rate_at).as_secs_f64();
        self.rate = self.rate * (-elapsed / RATE_DECAY_S).exp() + 1.0 / RATE_DECAY_S;
        self.rate_at = now;
    }
}
