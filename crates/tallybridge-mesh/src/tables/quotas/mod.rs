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
mod entry;
mod epochs;
mod owner;
mod spending;

pub use self::{
    bucket::TokenBucket,
    entry::{EntryTokens, TokenAnswer},
    owner::{OwnedQuotas, QuotaSlack},
};
