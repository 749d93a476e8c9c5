//! The rate limits of tenants, which hold over the whole fleet.
//!
//! **Rule.** Each tenant has one *owner*, the node that ranks first for it among the nodes in reach
//! (rendezvous hashing, [`PeerTable::quota_owner`](crate::tables::PeerTable::quota_owner)). The
//! owner keeps the tenant's only token bucket, and an entry admits a request with a token of that
//! bucket alone. An owner gives a token while its bucket holds one and the last window holds fewer
//! requests than the limit and a part of what users allow on top.
//!
//! **Inputs.**
//! * The limit: requests a second and a burst, by the configuration in force.
//! * What users allow beyond it ([`QuotaSlack`]): window in seconds, share of the limit, requests.
//! * With each ask, the requests that the entry admitted within the last window
//!   ([`QuotaRequest::admitted`]; exact to a twentieth of the window), and what it learned of grants by
//!   all owners ([`QuotaRequest::spending`]; as old as the last answer that the entry got).
//! * Which nodes are in reach, at each tick, and when the store was last read ([`Ownership`]).
//!
//! **Output.** [`QuotaGrant`]: tokens, or the time after which to come back, or "not the owner",
//! after which the entry asks again as long as its request may wait.
//!
//! **Why.** Of three ways that were compared, one owner alone refuses nobody below the limit; equal parts
//! and parts by demand refused up to 0.98 and 0.31 of such a tenant's requests. Owners change as nodes come
//! and go, and a new one knows nothing of the buckets before it, so
//! * it begins with few tokens and bounds what the window holds (`slack.rs`),
//! * entries report to it what was granted before, by *epochs* of owners (`epochs.rs`), and for its
//!   first moments it gives nothing while another node may have granted tokens within the window,
//! * a node that may have lost the role without knowing gives nothing ([`Ownership`]).
//!
//! **Ahead.** An entry that gets many requests of a tenant asks for some tokens more than it needs; the
//! owner gives these from a bucket that is more than half full, and they expire soon. What expires unused
//! would be missed by a tenant near its limit.
//!
//! **Constants** stand where they are used, each with its origin. What was weighed and lost, with the
//! measurements: `docs/design/quotas.md`.
//!
//! The tables here are plain state: they take the time as an argument and are guarded by the node's lock.
//!
//! [`QuotaRequest::admitted`]: crate::protocol::QuotaRequest::admitted
//! [`QuotaRequest::spending`]: crate::protocol::QuotaRequest::spending
//! [`QuotaGrant`]: crate::protocol::QuotaGrant

mod bucket;
mod entry;
mod epochs;
mod owner;
mod ownership;
mod slack;
mod spending;

pub use self::{
    bucket::TokenBucket,
    entry::{EntryTokens, TokenAnswer},
    owner::OwnedQuotas,
    ownership::{Ownership, Reach},
    slack::QuotaSlack,
};

/// Parts in which the requests of a window are counted: a count is exact to a twentieth of the
/// window. A sum that decays evenly forgot a burst before it had left the window (1,138 requests of
/// 1,114 allowed in `tests/quota.rs`; `docs/design/quotas.md`). Origin of the number of parts not
/// recorded.
const WINDOW_PARTS: u32 = 20;
