//! Which peers watch the store, and when it last confirmed their configuration to them.
//!
//! In a large fleet a few nodes watch the store for all; the rule stands in
//! [`tasks::configuration`](crate::tasks::configuration).

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use crate::clock::BootInstant;

/// Age up to which a confirmation of a peer counts. A watcher confirms every 500 ms, so one
/// confirmation may be lost; and a node that nobody confirms any more watches itself well within
/// the shortest time that users allow a change to be in force, 2 s.
const CONFIRMED_WITHIN: Duration = Duration::from_millis(1200);

/// What the store last confirmed to one peer.
#[derive(Debug, Clone, Copy)]
struct Confirmation {
    version: u64,
    /// When the peer asked the store.
    asked_at: BootInstant,
}

/// The newest confirmation of each peer that watches the store, by address.
#[derive(Debug, Default)]
pub struct WatcherTable(HashMap<SocketAddr, Confirmation>);

impl WatcherTable {
    /// The store confirmed a version to a peer, which had asked it at a time.
    pub fn confirmed(&mut self, peer: SocketAddr, version: u64, asked_at: BootInstant) {
        let confirmation = Confirmation { version, asked_at };
        self.0.insert(peer, confirmation);
    }

    /// The link to a peer is lost.
    pub fn remove(&mut self, peer: SocketAddr) {
        self.0.remove(&peer);
    }

    /// Peers to which the store confirmed a version, or a newer one, within 1.2 s.
    #[must_use]
    pub fn confirming(&self, version: u64, now: BootInstant) -> usize {
        let confirmations = self.0.values();
        let fresh = confirmations.filter(|confirmation| {
            let age = now.saturating_duration_since(confirmation.asked_at);
            confirmation.version >= version && age <= CONFIRMED_WITHIN
        });
        fresh.count()
    }
}
