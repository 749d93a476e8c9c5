//! The configuration in force at a node, and when it was last known to be the newest.
//!
//! A configuration is *confirmed* by a watch of the store and *read* by a request to the store.
//! [`tasks::configuration`](crate::tasks::configuration) documents what each guarantees. The store
//! holds the document; this table owns the node's copy.

use std::{cmp::Ordering, sync::Arc, time::Duration};

use bytes::Bytes;

use crate::{clock::BootInstant, configuration::Configuration};

/// A version that the store confirmed to be the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfirmedVersion {
    /// Version of the configuration; 0 if there is none.
    pub version: u64,
    /// Time since the confirmation was requested from the store.
    pub age: Duration,
    /// When the configuration that was last read was requested from the store.
    pub read_at: Option<BootInstant>,
}

/// What a node knows of the configuration.
#[derive(Debug, Default)]
pub struct ConfigurationTable {
    in_force: Option<InForce>,
    /// When the last confirmation, received by this node or by a peer, was requested from the
    /// store.
    confirmed_at: Option<BootInstant>,
    /// When the last confirmation that this node itself received was requested from the store.
    confirmed_by_store_at: Option<BootInstant>,
    /// When the last read, by this node or by a peer, of a version that is not newer than the one
    /// in force was requested from the store. A confirmation depends on a watch, which the store
    /// may drop; a read does not. A key that was removed before this time is therefore no longer in
    /// force.
    read_at: Option<BootInstant>,
    /// Version in force when the store last sent a version to this node.
    version_from_store: u64,
}

#[derive(Debug)]
struct InForce {
    configuration: Arc<Configuration>,
    /// The document that the configuration was decoded from.
    document: Bytes,
}

impl ConfigurationTable {
    /// Returns the configuration in force.
    #[must_use]
    pub fn in_force(&self) -> Option<&Arc<Configuration>> {
        self.in_force.as_ref().map(|current| &current.configuration)
    }

    /// Returns the document of the configuration in force.
    #[must_use]
    pub fn document(&self) -> Option<&Bytes> {
        self.in_force.as_ref().map(|current| &current.document)
    }

    /// Returns the version of the configuration in force, or 0 if there is none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.in_force().map_or(0, |current| current.version)
    }

    /// Puts a configuration in force if it is newer than the current one. Returns whether it did.
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

    /// Records that the version in force is the newest that the store sent to this node.
    pub fn record_version_from_store(&mut self) {
        self.version_from_store = self.version();
    }

    /// Returns whether the version in force came from a peer and the store has not yet sent it to
    /// this node.
    #[must_use]
    pub fn is_ahead_of_store(&self) -> bool {
        self.version() > self.version_from_store
    }

    /// Records that the store confirmed to this node, in answer to a request sent at
    /// `requested_at`, that the version in force is the newest.
    pub fn record_confirmation(&mut self, requested_at: BootInstant) {
        self.confirmed_at = self.confirmed_at.max(Some(requested_at));
        self.confirmed_by_store_at = Some(requested_at);
    }

    /// Records that this node read the version in force from the store, in answer to a request sent
    /// at `requested_at`.
    pub fn record_read(&mut self, requested_at: BootInstant) {
        self.read_at = self.read_at.max(Some(requested_at));
    }

    /// Records that the store confirmed the configuration of a peer, in answer to a request sent at
    /// `requested_at`. Returns how that version compares with the version in force; an equal
    /// version is confirmed here as well.
    pub fn record_peer_confirmation(
        &mut self,
        confirmed: ConfirmedVersion,
        requested_at: BootInstant,
    ) -> Ordering {
        let ordering = confirmed.version.cmp(&self.version());
        if ordering.is_le() {
            // The version in force is at least as new as the version that the peer read.
            self.read_at = self.read_at.max(confirmed.read_at);
        }
        if ordering.is_eq() {
            self.confirmed_at = self.confirmed_at.max(Some(requested_at));
        }
        ordering
    }

    /// Returns when the last confirmation, received by this node or by a peer, was requested from
    /// the store.
    #[must_use]
    pub const fn confirmed_at(&self) -> Option<BootInstant> {
        self.confirmed_at
    }

    /// Returns when the last read, by this node or by a peer, of a version that is not newer than
    /// the one in force was requested from the store.
    #[must_use]
    pub const fn read_at(&self) -> Option<BootInstant> {
        self.read_at
    }

    /// Returns the last confirmation that this node itself received from the store.
    #[must_use]
    pub fn confirmed_by_store(&self) -> Option<ConfirmedVersion> {
        let requested_at = self.confirmed_by_store_at?;
        Some(ConfirmedVersion {
            version: self.version(),
            age: requested_at.elapsed(),
            read_at: self.read_at,
        })
    }
}
