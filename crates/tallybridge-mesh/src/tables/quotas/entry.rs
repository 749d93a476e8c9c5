//! Tokens that an entry holds, and how many it asks for.

use std::{collections::HashMap, sync::Arc, time::Duration};

use super::{epochs::FleetSpending, spending::EntrySpending};
use crate::clock::BootInstant;
use crate::protocol::{EpochSpending, WindowSpending};

/// Time after which tokens that were asked for ahead expire. What all entries hold together is missing from
/// the owner's bucket, so it must be little beside the overage that users allow (a tenth of five seconds'
/// worth).
const TOKEN_LIFETIME: Duration = Duration::from_millis(250);
/// Part of a second for which tokens are asked ahead. A tenant that sends fewer than ten requests a second
/// to an entry is asked for one by one; one with a limit of 1,000 a second over 82 nodes then costs 0.36
/// messages a request (`docs/design/quotas.md`).
const AHEAD_S: f64 = 0.1;
/// Time constant in seconds over which the rate decays by which tokens are asked ahead. Origin not
/// recorded.
const RATE_DECAY_S: f64 = 1.0;
/// Longest time for which requests are refused without asking the owner again: shorter than the 55 ms for
/// which a new owner waits for reports of what was granted before.
const SPENT_MAX: Duration = Duration::from_millis(50);
/// Time without a request after which a tenant's row is forgotten. Origin not recorded.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// What an entry can say of a request without asking the tenant's owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TokenAnswer {
    /// It held a token, which is spent now.
    Admitted,
    /// The owner said a moment ago that the tenant is at its limit; with the time after which to come back.
    Spent(Duration),
    /// A token is to be asked for.
    Ask {
        /// Tokens that are wanted besides.
        ahead: u32,
        /// Requests that this entry admitted within the last window.
        spent: u32,
        /// What owners granted, as they reported it to this entry.
        fleet: WindowSpending,
    },
}

/// Tokens of one entry, by the tenant's name.
#[derive(Debug)]
pub struct EntryTokens {
    rows: HashMap<Arc<str>, EntryRow>,
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
            fleet: row.fleet.report(now),
        }
    }

    /// The owner granted tokens: one for a request that is admitted now, the others are kept. `fleet` is
    /// what it knows of all grants within the last window.
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
        row.fleet.merge(fleet, now);
        self.keep(tenant, tokens.saturating_sub(1), now);
    }

    /// Keeps tokens beyond the one that a request needs, or one that was not used after all.
    pub fn keep(&mut self, tenant: &Arc<str>, tokens: u32, now: BootInstant) {
        if tokens == 0 {
            return;
        }
        let row = self.row(tenant, now);
        if now >= row.expire_at {
            row.tokens = 0;
        }
        row.tokens += tokens;
        row.expire_at = now + TOKEN_LIFETIME;
    }

    /// The owner says that the tenant is at its limit, with the time after which to come back and what it
    /// knows of all grants within the last window.
    pub fn spent(
        &mut self,
        tenant: &Arc<str>,
        wait: Duration,
        fleet: &[EpochSpending],
        now: BootInstant,
    ) {
        let row = self.row(tenant, now);
        row.fleet.merge(fleet, now);
        row.spent_until = now + wait.min(SPENT_MAX);
        row.spent_wait = wait;
    }

    /// Forgets tenants that send nothing.
    pub fn forget_idle(&mut self, now: BootInstant) {
        self.rows
            .retain(|_, row| now.saturating_duration_since(row.rate_at) < FORGET_AFTER);
    }

    fn row(&mut self, tenant: &Arc<str>, now: BootInstant) -> &mut EntryRow {
        let window = self.window;
        self.rows.entry(tenant.clone()).or_insert_with(|| EntryRow {
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

/// One tenant at an entry.
#[derive(Debug)]
struct EntryRow {
    tokens: u32,
    expire_at: BootInstant,
    /// Requests a second, decaying.
    rate: f64,
    rate_at: BootInstant,
    /// Until when requests are refused without an ask.
    spent_until: BootInstant,
    /// Time to come back that the owner last gave.
    spent_wait: Duration,
    /// What this entry admitted, whoever the owner was.
    spending: EntrySpending,
    /// What owners granted, to be passed on.
    fleet: FleetSpending,
}

impl EntryRow {
    fn note_request(&mut self, now: BootInstant) {
        let elapsed = now.saturating_duration_since(self.rate_at).as_secs_f64();
        self.rate = self.rate * (-elapsed / RATE_DECAY_S).exp() + 1.0 / RATE_DECAY_S;
        self.rate_at = now;
    }
}
