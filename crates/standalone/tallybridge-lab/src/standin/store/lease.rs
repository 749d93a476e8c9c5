//! The leases and when they lapse.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::Instant;

use super::operation::LeaseNumber;

/// A row of the table: one lease.
#[derive(Debug, Clone, Copy)]
struct Lease {
    ttl: Duration,
    expires: Instant,
}

/// Leases by number.
#[derive(Debug, Default)]
pub struct LeaseTable {
    rows: BTreeMap<LeaseNumber, Lease>,
    last: LeaseNumber,
}

impl LeaseTable {
    /// Starts a lease.
    pub fn grant(&mut self, ttl: Duration, now: Instant) -> LeaseNumber {
        self.last += 1;
        let lease = Lease {
            ttl,
            expires: now + ttl,
        };
        self.rows.insert(self.last, lease);
        self.last
    }

    /// Lets a lease run for its whole time again; `false` when it is unknown.
    pub fn renew(&mut self, number: LeaseNumber, now: Instant) -> bool {
        let Some(lease) = self.rows.get_mut(&number) else {
            return false;
        };
        lease.expires = now + lease.ttl;
        true
    }

    /// Whether a lease is known.
    pub fn contains(&self, number: LeaseNumber) -> bool {
        self.rows.contains_key(&number)
    }

    /// Forgets a lease.
    pub fn remove(&mut self, number: LeaseNumber) {
        self.rows.remove(&number);
    }

    /// Forgets the leases whose time is over and gives their numbers.
    pub fn take_lapsed(&mut self, now: Instant) -> Vec<LeaseNumber> {
        let lapsed: Vec<LeaseNumber> = self
            .rows
            .iter()
            .filter(|(_, lease)| lease.expires <= now)
            .map(|(number, _)| *number)
            .collect();
        for number in &lapsed {
            self.rows.remove(number);
        }
        lapsed
    }

    /// When the next lease lapses.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.rows.values().map(|lease| lease.expires).min()
    }
}
