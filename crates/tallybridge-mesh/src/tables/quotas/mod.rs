//! Rate limits of tenants, which apply to the whole fleet.
//!
//! The *owner* of a tenant is the reachable node that ranks first for it by rendezvous hashing
//! ([`PeerTable::quota_owner`](crate::tables::PeerTable::quota_owner)). The owner keeps the only
//! token bucket of the tenant, and an entry needs a token of that bucket to admit a request.
//!
//! A new owner does not know the earlier bucket. Each request for tokens therefore reports the user
//! requests that the entry admitted within the last window and the grants of all owners that it
//! knows. The owner bounds the total. A new owner grants nothing until these reports have arrived
//! (`owner.rs`), and a node that may have lost the ownership grants nothing either ([`Ownership`]).
//!
//! Some grants may be known to no node that is left. The bucket of a new owner therefore starts empty and
//! fills faster during its first window (`slack.rs`), which bounds the grants of any number of successive
//! owners. Requests wait a short time for its tokens.
//!
//! The tables take the current time as an argument, and the lock of the node guards them.

mod bucket;
mod entry;
mod epochs;
mod owner;
mod ownership;
mod slack;
mod spending;
mod waiting;

pub use self::{
    bucket::TokenBucket,
    entry::{EntryTokens, TokenAnswer},
    owner::OwnedQuotas,
    ownership::{Ownership, Reach},
    slack::QuotaSlack,
};

/// Number of parts in which the requests of a window are counted; a count is exact to one part.
const WINDOW_PARTS: u32 = 20;
