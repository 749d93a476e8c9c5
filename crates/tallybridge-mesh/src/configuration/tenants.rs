//! Tenants: customers of the operator, with keys, a priority and a rate limit for the whole fleet.
//!
//! Keys are stored and compared only as digests. [`request::credentials`](crate::request) checks the
//! key of a request, and [`tables::quotas`](crate::tables::quotas) enforces the rate limits.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
};

use sha2::{Digest, Sha256};

/// SHA-256 digest of a key. Comparing digests instead of keys prevents timing attacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key.
    #[must_use]
    pub fn from_key(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

/// Limit on the requests of a tenant that the whole fleet admits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimit {
    /// Sustained rate, in requests per second.
    pub per_second: f64,
    /// Number of requests that may exceed the rate after a time of fewer requests.
    pub burst: f64,
}

/// Rank of a tenant's priority among the distinct priorities of all tenants. If all tenants have the
/// same priority, only the priority of the route matters.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct TenantRank {
    /// Number of distinct priorities that are more important.
    pub higher_priorities: u8,
    /// Number of distinct priorities that are less important.
    pub lower_priorities: u8,
}

impl TenantRank {
    fn of(priority: u8, priorities: &BTreeSet<u8>) -> Self {
        let to_u8 = |count: usize| u8::try_from(count).unwrap_or(u8::MAX);
        Self {
            higher_priorities: to_u8(priorities.range(..priority).count()),
            lower_priorities: to_u8(priorities.range(priority..).count().saturating_sub(1)),
        }
    }
}

/// A customer of the operator.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Name of the tenant, which is sent to back ends.
    pub name: Arc<str>,
    /// Priority, which outranks the priority of a route; 0 is the most important.
    pub priority: u8,
    /// Rank of the priority among all tenants of the configuration.
    pub rank: TenantRank,
    /// Rate limit, or `None` if the tenant is unlimited.
    pub limit: Option<RateLimit>,
}

impl Tenant {
    /// Returns the tenant with its limit divided by `parts`, or by 1 if `parts` is 0.
    #[must_use]
    pub fn with_divided_limit(&self, parts: usize) -> Self {
        let parts = parts.max(1) as f64;
        let limit = self.limit.map(|limit| RateLimit {
            per_second: limit.per_second / parts,
            burst: limit.burst / parts,
        });
        Self {
            limit,
            ..self.clone()
        }
    }
}

/// Error in the tenants of a configuration. Its text never contains a key.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum TenantError {
    /// Two tenants have the same key.
    #[error("tenants {first} and {second} share a key")]
    SharedKey {
        /// Tenant that comes first in the configuration.
        first: Arc<str>,
        /// Tenant that comes second in the configuration.
        second: Arc<str>,
    },
    /// Two tenants have the same name.
    #[error("tenant {0} is defined twice")]
    DuplicateName(Arc<str>),
}

/// Tenants of one configuration, by key and by name.
#[derive(Debug, Clone, Default)]
pub struct TenantDirectory {
    by_key: HashMap<KeyDigest, Arc<Tenant>>,
    by_name: HashMap<Arc<str>, Arc<Tenant>>,
}

impl TenantDirectory {
    /// Indexes tenants by key and by name, and computes their ranks.
    ///
    /// # Errors
    ///
    /// Returns [`TenantError`] if two tenants have the same key or name.
    pub fn new(tenants: Vec<(Tenant, Vec<KeyDigest>)>) -> Result<Self, TenantError> {
        let mut directory = Self::default();
        let priorities = tenants.iter().map(|(tenant, _)| tenant.priority).collect();
        for (mut tenant, keys) in tenants {
            tenant.rank = TenantRank::of(tenant.priority, &priorities);
            let tenant = Arc::new(tenant);
            let name = tenant.name.clone();
            if directory.by_name.insert(name, tenant.clone()).is_some() {
                return Err(TenantError::DuplicateName(tenant.name.clone()));
            }
            for key in keys {
                directory.insert(key, &tenant)?;
            }
        }
        Ok(directory)
    }

    fn insert(&mut self, key: KeyDigest, tenant: &Arc<Tenant>) -> Result<(), TenantError> {
        match self.by_key.insert(key, tenant.clone()) {
            Some(first) if first.name != tenant.name => Err(TenantError::SharedKey {
                first: first.name.clone(),
                second: tenant.name.clone(),
            }),
            _ => Ok(()),
        }
    }

    /// Returns the tenant to which a key belongs, or `None` if the key is unknown.
    #[must_use]
    pub fn tenant_by_key(&self, key: &[u8]) -> Option<&Arc<Tenant>> {
        self.by_key.get(&KeyDigest::from_key(key))
    }

    /// Returns the tenant with this name.
    #[must_use]
    pub fn tenant_by_name(&self, name: &str) -> Option<&Arc<Tenant>> {
        self.by_name.get(name)
    }
}
