//! The buckets of the tenants whose home this node is.

use std::{collections::HashMap, sync::Arc};

use tokio::time::{Duration, Instant};

use super::{QuotaGrant, TokenBucket};
use crate::tenants::Tenant;

/// Time without a question after which a bucket is forgotten. It is full again by then, or nearly.
const FORGET_AFTER: Duration = Duration::from_secs(60);

#[derive(Debug)]
struct HomeRow {
    bucket: TokenBucket,
    asked_at: Instant,
}

/// Buckets of tenants, by name.
#[derive(Debug, Default)]
pub struct QuotaHome(HashMap<Arc<str>, HomeRow>);

impl QuotaHome {
    /// Gives up to `wanted` tokens of a tenant. A bucket that this node has not kept so far was empty
    /// at `since`, when another node may still have been the tenant's home.
    pub fn grant(
        &mut self,
        tenant: &Tenant,
        wanted: u32,
        since: Instant,
        now: Instant,
    ) -> QuotaGrant {
        let Some(limit) = tenant.limit else {
            return QuotaGrant::Tokens(wanted);
        };
        let row = self
            .0
            .entry(tenant.name.clone())
            .or_insert_with(|| HomeRow {
                bucket: TokenBucket::empty_at(limit, since),
                asked_at: now,
            });
        row.asked_at = now;
        row.bucket.set_limit(limit, now);
        match row.bucket.take(wanted, now) {
            0 => QuotaGrant::Spent(row.bucket.promise(now)),
            tokens => QuotaGrant::Tokens(tokens),
        }
    }

    /// Forgets buckets that nobody has asked for.
    pub fn forget_idle(&mut self, now: Instant) {
        self.0
            .retain(|_, row| now.saturating_duration_since(row.asked_at) < FORGET_AFTER);
    }
}
