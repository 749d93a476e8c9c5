//! Peers that watch the store, and the last confirmation that each of them passed on.
//!
//! In a large fleet a few nodes watch the store for all others; see
//! [`tasks::configuration`](crate::tasks::configuration).

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use crate::clock::BootInstant;

/// Age up to which a confirmation counts. A watcher confirms every 500 ms, so one confirmation may
/// be missing. A node without confirmations still starts its own watch in time to apply a change
/// within 2 s.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(1200);

/// The last confirmation that a peer received from the store.
#[derive(Debug, Clone, Copy)]
struct Confirmation {
    version: u64,
    requested_at: BootInstant,
}

/// The newest confirmation of each peer that watches the store, by address.
#[derive(Debug, Default)]
pub struct WatcherTable(HashMap<SocketAddr, Confirmation>);

impl WatcherTable {
    /// Records that the store confirmed a version to a peer, in answer to a request sent at
    /// `requested_at`.
    pub fn record_confirmation(
        &mut self,
        peer: SocketAddr,
        version: u64,
        requested_at: BootInstant,
    ) {
        let confirmation = Confirmation {
            version,
            requested_at,
        };
        self.0.insert(peer, confirmation);
    }

    /// Removes a peer whose link closed.
    pub fn remove(&mut self, peer: SocketAddr) {
        self.0.remove(&peer);
    }

    /// Counts the peers to which the store confirmed `version` or newer within the last 1.2 s.
    #[must_use]
    pub fn count_confirming(&self, version: u64, now: BootInstant) -> usize {
        self.confirming(version, now).count()
    }

    /// Iterates over the peers to which the store confirmed `version` or newer within the last 1.2 s.
    pub fn confirming(
        &self,
        version: u64,
        now: BootInstant,
    ) -> impl Iterator<Item = SocketAddr> + '_ {
        let fresh = self.0.iter().filter(move |(_, confirmation)| {
            let age = now.saturating_duration_since(confirmation.requested_at);
            confirmation.version >= version && age <= MAX_CONFIRMATION_AGE
        });
        fresh.map(|(address, _)| *address)
    }
}
