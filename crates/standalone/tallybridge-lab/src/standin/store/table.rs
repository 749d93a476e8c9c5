//! The keys, their versions and the changes made to them.

use std::{collections::BTreeMap, ops::Bound};

use serde::Serialize;
use tokio::time::Instant;

use super::{
    lease::LeaseTable,
    operation::{LeaseNumber, ListQuery},
};

/// A key with its value, as answers carry it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value, or `None` in a watch's answer when the key was removed.
    pub value: Option<String>,
    /// Version at which the key got this value or was removed.
    pub version: u64,
}

/// A row of the table: a key's last change. A removed key stays as a row without a value, so
/// that watches learn of the removal.
#[derive(Debug, Clone)]
struct Row {
    value: Option<String>,
    version: u64,
    lease: Option<LeaseNumber>,
}

/// Why a write was not done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// The key has another version than expected; 0 when it is absent.
    Conflict { version: u64 },
    /// The named lease is unknown or has lapsed.
    NoLease,
}

/// Everything the store holds.
#[derive(Debug, Default)]
pub struct StoreTable {
    rows: BTreeMap<String, Row>,
    leases: LeaseTable,
    version: u64,
}

impl StoreTable {
    /// The store's counter.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// A key's entry.
    pub fn get(&self, key: &str) -> Option<Entry> {
        let row = self.rows.get(key)?;
        row.value.as_ref()?;
        Some(entry(key, row))
    }

    /// The entries of one page, in key order.
    pub fn list(&self, query: &ListQuery) -> Vec<Entry> {
        self.rows
            .range::<str, _>((Bound::Excluded(query.after.as_str()), Bound::Unbounded))
            .filter(|(key, row)| key.starts_with(&query.prefix) && row.value.is_some())
            .take(query.limit)
            .map(|(key, row)| entry(key, row))
            .collect()
    }

    /// The last change of every key below `prefix` that changed above version `after`.
    pub fn changes(&self, prefix: &str, after: u64) -> Vec<Entry> {
        self.rows
            .iter()
            .filter(|(key, row)| key.starts_with(prefix) && row.version > after)
            .map(|(key, row)| entry(key, row))
            .collect()
    }

    /// Writes a key and gives its new version.
    pub fn put(
        &mut self,
        key: &str,
        value: String,
        expect: Option<u64>,
        lease: Option<LeaseNumber>,
    ) -> Result<u64, Refused> {
        self.check(key, expect)?;
        if lease.is_some_and(|lease| !self.leases.contains(lease)) {
            return Err(Refused::NoLease);
        }
        self.set(key, Some(value), lease);
        Ok(self.version)
    }

    /// Removes a key.
    pub fn delete(&mut self, key: &str, expect: Option<u64>) -> Result<(), Refused> {
        self.check(key, expect)?;
        if self.get(key).is_some() {
            self.set(key, None, None);
        }
        Ok(())
    }

    /// Starts a lease.
    pub fn grant(&mut self, ttl: std::time::Duration, now: Instant) -> LeaseNumber {
        self.leases.grant(ttl, now)
    }

    /// Lets a lease run for its whole time again; `false` when it has lapsed.
    pub fn renew(&mut self, lease: LeaseNumber, now: Instant) -> bool {
        self.leases.renew(lease, now)
    }

    /// Ends a lease and removes its keys.
    pub fn revoke(&mut self, lease: LeaseNumber) {
        self.leases.remove(lease);
        self.remove_keys_of(lease);
    }

    /// Ends the leases whose time is over and removes their keys.
    pub fn expire(&mut self, now: Instant) {
        for lease in self.leases.take_lapsed(now) {
            self.remove_keys_of(lease);
        }
    }

    /// When the next lease lapses.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.leases.next_expiry()
    }

    fn check(&self, key: &str, expect: Option<u64>) -> Result<(), Refused> {
        let version = self.get(key).map_or(0, |entry| entry.version);
        match expect {
            Some(expected) if expected != version => Err(Refused::Conflict { version }),
            _ => Ok(()),
        }
    }

    fn set(&mut self, key: &str, value: Option<String>, lease: Option<LeaseNumber>) {
        self.version += 1;
        let row = Row {
            value,
            version: self.version,
            lease,
        };
        self.rows.insert(key.to_owned(), row);
    }

    fn remove_keys_of(&mut self, lease: LeaseNumber) {
        let keys: Vec<String> = self
            .rows
            .iter()
            .filter(|(_, row)| row.lease == Some(lease))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.set(&key, None, None);
        }
    }
}

fn entry(key: &str, row: &Row) -> Entry {
    Entry {
        key: key.to_owned(),
        value: row.value.clone(),
        version: row.version,
    }
}
