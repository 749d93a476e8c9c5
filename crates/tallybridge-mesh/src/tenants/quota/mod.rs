//! Limits of tenants, kept by the whole fleet.
//!
//! Each tenant has a *home*: the node that ranks first for it among those that a node reaches
//! (rendezvous hashing). The home keeps one token bucket for the tenant; an entry asks it for a
//! token before it lets a request in, and for a few ahead where the tenant's requests come fast.
//! Tokens expire soon, so that few lie unused. A node that has just become a home begins with
//! a quarter of what users allow beyond the limit: what the home before it gave out is not
//! known any more. What entries let in within the last window they tell with each ask, so that however
//! often the home changes, no more is given out than a window may hold. They also tell what the last home
//! told them of all others: a new home knows it with the first ask, before those have asked that are
//! quiet or were restarted.

mod bucket;
mod held;
mod home;
mod spending;
mod window;

use std::time::Duration;

pub use self::{
    bucket::TokenBucket,
    held::{HeldAnswer, HeldTokens},
    home::{QuotaHome, QuotaSlack},
    window::{LifeSpending, WindowSpending},
};

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
    NotHome,
}
