//! What nodes ask and tell each other of the limits of tenants.

use std::time::Duration;

/// What an entry asks a home for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuotaAsk {
    /// The entry: its process.
    pub entry: u64,
    /// Tokens that are wanted beyond the first.
    pub ahead: u32,
    /// Requests of the tenant that the entry let in within the last window, whoever was the home.
    pub spent: u32,
    /// What homes gave out within the last window, as those that answered told this entry.
    pub fleet: WindowSpending,
}

/// What a home answers an entry that asks for tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuotaGrant {
    /// The tenant is within its limit.
    Tokens {
        /// Tokens that the entry gets, at least one.
        tokens: u32,
        /// What homes gave out within the last window, these among it.
        fleet: WindowSpending,
    },
    /// The tenant is at its limit.
    Spent {
        /// Time after which a token is likely to be free.
        wait: Duration,
        /// What homes gave out within the last window.
        fleet: WindowSpending,
    },
    /// The node that was asked does not take itself for the tenant's home.
    NotOwner,
}

/// What a home gave out in one life of it, as nodes tell each other.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EpochSpending {
    /// The life.
    pub life: u32,
    /// All that it gave out so far: of two tellings the greater is the newer.
    pub total: u32,
    /// Milliseconds since the newest part began.
    pub age_ms: u16,
    /// Requests by part, the newest first, up to the last that has any.
    pub requests: Vec<u16>,
}

/// What is known of all lives within the window.
pub type WindowSpending = Vec<EpochSpending>;
