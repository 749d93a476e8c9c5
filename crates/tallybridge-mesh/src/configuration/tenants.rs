//! Tenants: customers of the operator, with keys, a priority and a rate limit over the whole fleet.
//!
//! Keys are known and compared by their digests only. Which request a key admits:
//! [`request::credentials`](crate::request); the rate limits: [`tables::quotas`](crate::tables::quotas).

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
};

use sha2::{Digest, Sha256};

/// Digest of a key (SHA-256). Keys are compared by their digests, so that the time of a comparison reveals
/// nothing of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The digest of a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

/// How many requests of a tenant the whole fleet admits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimit {
    /// Requests a second.
    pub per_second: f64,
    /// Requests on top of that after a time with fewer of them.
    pub burst: f64,
}

/// The rank of a tenant's priority among those that tenants of a configuration have. Where all have
/// the same one, the priority of the route alone decides.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct TenantRank {
    /// Priorities that go before its own.
    pub before: u8,
    /// Priorities that come after its own.
    pub after: u8,
}

impl TenantRank {
    fn of(priority: u8, all: &BTreeSet<u8>) -> Self {
        let count = |priorities: usize| u8::try_from(priorities).unwrap_or(u8::MAX);
        Self {
            before: count(all.range(..priority).count()),
            after: count(all.range(priority..).count().saturating_sub(1)),
        }
    }
}

/// A customer of the operator, with keys of its own.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Its name, which is passed on to back ends.
    pub name: Arc<str>,
    /// Its priority, which goes before that of a route; 0 is the most important.
    pub priority: u8,
    /// The rank of that among the tenants of its configuration.
    pub rank: TenantRank,
    /// Its limit; `None` for no limit.
    pub limit: Option<RateLimit>,
}

impl Tenant {
    /// The same tenant with one of so many equal parts of its limit.
    #[must_use]
    pub fn part(&self, parts: usize) -> Self {
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

/// Why tenants can't be used. Keys themselves are never shown.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum TenantError {
    /// A key has two owners.
    #[error("tenants {first} and {second} share a key")]
    SharedKey {
        /// The tenant that was given it first.
        first: Arc<str>,
        /// The other one.
        second: Arc<str>,
    },
    /// Two tenants have one name.
    #[error("tenant {0} is given twice")]
    NameTwice(Arc<str>),
}

/// The tenants of one configuration, by their keys.
#[derive(Debug, Clone, Default)]
pub struct TenantDirectory {
    by_key: HashMap<KeyDigest, Arc<Tenant>>,
    by_name: HashMap<Arc<str>, Arc<Tenant>>,
}

impl TenantDirectory {
    /// Tenants with the keys of each; the ranks of the tenants follow from their priorities.
    ///
    /// # Errors
    ///
    /// [`TenantError`] when a key or a name is given to two tenants.
    pub fn new(tenants: Vec<(Tenant, Vec<KeyDigest>)>) -> Result<Self, TenantError> {
        let mut directory = Self::default();
        let priorities = tenants.iter().map(|(tenant, _)| tenant.priority).collect();
        for (mut tenant, keys) in tenants {
            tenant.rank = TenantRank::of(tenant.priority, &priorities);
            let tenant = Arc::new(tenant);
            let name = tenant.name.clone();
            if directory.by_name.insert(name, tenant.clone()).is_some() {
                return Err(TenantError::NameTwice(tenant.name.clone()));
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

    /// The tenant that holds a key.
    #[must_use]
    pub fn holder(&self, key: &[u8]) -> Option<&Arc<Tenant>> {
        self.by_key.get(&KeyDigest::of(key))
    }

    /// The tenant of a name.
    #[must_use]
    pub fn named(&self, name: &str) -> Option<&Arc<Tenant>> {
        self.by_name.get(name)
    }
}
