//! The configuration in force at a node, and how sure the node is that it is the newest.
//!
//! Confirmed and read are two grades of that; what each means and what it is good for stands in
//! [`tasks::configuration`](crate::tasks::configuration). The document is the operator's and lies in
//! the platform's store; this table owns only what the node has of it.

use std::{cmp::Ordering, sync::Arc, time::Duration};

use bytes::Bytes;

use crate::{clock::BootInstant, configuration::Configuration};

/// A version that the store confirmed to be the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Confirmed {
    /// The version; 0 for none.
    pub version: u64,
    /// Time since the store was asked.
    pub age: Duration,
    /// When the store was asked for the configuration that was last read.
    pub read_at: Option<BootInstant>,
}

/// What a node knows of the configuration.
#[derive(Debug, Default)]
pub struct ConfigurationTable {
    in_force: Option<InForce>,
    /// When the store, or a peer that watches it, last confirmed the configuration.
    confirmed_at: Option<BootInstant>,
    /// When the store last confirmed it to this node itself.
    confirmed_by_store_at: Option<BootInstant>,
    /// When the store was asked for the newest configuration that is known to have been read, here
    /// or at a peer, and that is not newer than the one in force. A confirmation rests on a watch
    /// that may be lost; a read does not, so no key that was removed before it can still be in
    /// force.
    read_at: Option<BootInstant>,
    /// Version in force when the store last gave one to this node.
    version_from_store: u64,
}

#[derive(Debug)]
struct InForce {
    configuration: Arc<Configuration>,
    /// What it was read from.
    document: Bytes,
}

impl ConfigurationTable {
    /// The configuration in force.
    #[must_use]
    pub fn in_force(&self) -> Option<&Arc<Configuration>> {
        self.in_force.as_ref().map(|current| &current.configuration)
    }

    /// The document of the configuration in force.
    #[must_use]
    pub fn document(&self) -> Option<&Bytes> {
        self.in_force.as_ref().map(|current| &current.document)
    }

    /// Version of the configuration in force; 0 for none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.in_force().map_or(0, |current| current.version)
    }

    /// Puts a configuration in force if it is newer than the one that is; `false` if it is not.
    pub fn put_in_force(&mut self, configuration: Configuration, document: Bytes) -> bool {
        let current = self.in_force();
        if current.is_some_and(|current| current.version >= configuration.version) {
            return false;
        }
        self.in_force = Some(InForce {
            configuration: Arc::new(configuration),
            document,
        });
        true
    }

    /// The store reported the newest version to this node, which has it in force now.
    pub fn record_version_from_store(&mut self) {
        self.version_from_store = self.version();
    }

    /// Whether a version is in force that came from a peer and that the store has not reported to
    /// this node.
    #[must_use]
    pub fn is_ahead_of_store(&self) -> bool {
        self.version() > self.version_from_store
    }

    /// The store, which this node asked at `asked_at`, confirmed that nothing newer is there.
    pub fn record_confirmation(&mut self, asked_at: BootInstant) {
        self.confirmed_at = self.confirmed_at.max(Some(asked_at));
        self.confirmed_by_store_at = Some(asked_at);
    }

    /// This node read the newest configuration from the store, which it asked at `asked_at`, and has
    /// it in force.
    pub fn record_read(&mut self, asked_at: BootInstant) {
        self.read_at = self.read_at.max(Some(asked_at));
    }

    /// The store, asked at `asked_at`, confirmed the configuration of a peer. Gives how that version
    /// compares with the one in force; the same one is confirmed here as well.
    pub fn record_peer_confirmation(
        &mut self,
        confirmed: Confirmed,
        asked_at: BootInstant,
    ) -> Ordering {
        let order = confirmed.version.cmp(&self.version());
        if order.is_le() {
            // Whatever this node has in force is at least as new as what was read then.
            self.read_at = self.read_at.max(confirmed.read_at);
        }
        if order.is_eq() {
            self.confirmed_at = self.confirmed_at.max(Some(asked_at));
        }
        order
    }

    /// When the store, or a peer that watches it, was last asked and confirmed the configuration.
    #[must_use]
    pub const fn confirmed_at(&self) -> Option<BootInstant> {
        self.confirmed_at
    }

    /// When the store was asked for the newest configuration that was read, here or at a peer.
    #[must_use]
    pub const fn read_at(&self) -> Option<BootInstant> {
        self.read_at
    }

    /// What the store last confirmed to this node itself.
    #[must_use]
    pub fn confirmed_by_store(&self) -> Option<Confirmed> {
        let asked_at = self.confirmed_by_store_at?;
        Some(Confirmed {
            version: self.version(),
            age: asked_at.elapsed(),
            read_at: self.read_at,
        })
    }
}
