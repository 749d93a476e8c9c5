//! Messages between an entry and the owner of a tenant's rate limit. The rule:
//! [`tables::quotas`](crate::tables::quotas).

use std::time::Duration;

/// An entry's request for tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuotaAsk {
    /// Process of the entry.
    pub entry: u64,
    /// Tokens that are wanted beyond the first.
    pub ahead: u32,
    /// Requests of the tenant that the entry admitted within the last window, whoever the owner was.
    pub spent: u32,
    /// What owners granted within the last window, as they reported it to this entry.
    pub fleet: WindowSpending,
}

/// An owner's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuotaGrant {
    /// The tenant is within its limit.
    Tokens {
        /// Tokens that the entry gets, at least one.
        tokens: u32,
        /// What owners granted within the last window, these included.
        fleet: WindowSpending,
    },
    /// The tenant is at its limit.
    Spent {
        /// Time after which a token is likely to be free.
        wait: Duration,
        /// What owners granted within the last window.
        fleet: WindowSpending,
    },
    /// The node does not own the tenant's limit, or can't tell yet what was granted before.
    NotOwner,
}

/// What an owner granted in one epoch: the time for which it is the owner without a break.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EpochSpending {
    /// Random number of the epoch.
    pub epoch: u32,
    /// All that was granted since the epoch began: of two reports the greater total is the newer.
    pub total: u32,
    /// Milliseconds since the newest part began.
    pub age_ms: u16,
    /// Requests by part of the window, the newest first, up to the last part that has any.
    pub requests: Vec<u16>,
}

/// What is known of all epochs within the window.
pub type WindowSpending = Vec<EpochSpending>;
