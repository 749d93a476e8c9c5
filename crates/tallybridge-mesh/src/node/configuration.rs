//! The node's operations on the configuration in force: applying a document, and recording when the
//! store or a peer confirmed it.
//!
//! [`ConfigurationTable`](crate::tables::ConfigurationTable) owns the state;
//! [`tasks::configuration`](crate::tasks::configuration) decides when the store is read and watched.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::sync::watch;

use super::Node;
use crate::{
    clock::BootInstant, configuration::Configuration, link::Link, tables::ConfirmedVersion,
};

impl Node {
    /// Returns the configuration in force; `None` until the first document was applied.
    #[must_use]
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.tables().configuration.in_force().cloned()
    }

    /// Returns the undecoded document of the configuration in force.
    #[must_use]
    pub fn configuration_document(&self) -> Option<Bytes> {
        self.tables().configuration.document().cloned()
    }

    /// Returns whether the configuration in force defines tenants, whose requests carry keys.
    #[must_use]
    pub fn has_tenants(&self) -> bool {
        let configuration = self.configuration();
        configuration.is_some_and(|configuration| configuration.tenants.is_some())
    }

    /// Applies a configuration document if its version is newer than the one in force. Returns
    /// `false` if the document cannot be decoded, in which case the configuration in force may be
    /// out of date.
    pub fn offer_configuration(&self, document: &Bytes) -> bool {
        if self.configuration_document().as_ref() == Some(document) {
            return true;
        }
        let configuration = match self.platform.configuration(document) {
            Ok(configuration) => configuration,
            Err(reason) => {
                tracing::error!(reason, "configuration is invalid; keeping the previous one");
                return false;
            }
        };
        let version = configuration.version;
        let is_newer = self
            .tables()
            .configuration
            .put_in_force(configuration, document.clone());
        if is_newer {
            tracing::info!(version, "configuration in force");
            self.signals.verification_due.notify_one();
            self.publish();
        }
        true
    }

    /// Records that the version in force is the newest that the store reported to this node.
    pub fn record_version_from_store(&self) {
        self.tables().configuration.record_version_from_store();
    }

    /// Returns whether the version in force came from a peer and the store has not reported it to
    /// this node yet.
    #[must_use]
    pub fn is_ahead_of_store(&self) -> bool {
        self.tables().configuration.is_ahead_of_store()
    }

    /// Records that the store confirmed the configuration in force as the newest one, in answer to
    /// a call that this node sent at `requested_at`.
    pub fn configuration_confirmed(&self, requested_at: BootInstant) {
        self.tables()
            .configuration
            .record_confirmation(requested_at);
        self.signals.confirmations.send_modify(|count| *count += 1);
    }

    /// Records that this node read the configuration in force from the store, in answer to a call
    /// that it sent at `requested_at`.
    pub fn configuration_read(&self, requested_at: BootInstant) {
        self.tables().configuration.record_read(requested_at);
        self.configuration_confirmed(requested_at);
    }

    /// Returns the age of the last read of the configuration from the store, by this node or by a
    /// peer; `None` before the first read.
    #[must_use]
    pub fn read_age(&self) -> Option<Duration> {
        let read_at = self.tables().configuration.read_at();
        read_at.map(|at| at.elapsed())
    }

    /// Converts a point in time to milliseconds since this process started; at least 1. Messages to
    /// peers date reads of the configuration by this clock.
    #[must_use]
    pub fn clock_ms(&self, at: BootInstant) -> u64 {
        let elapsed = at.saturating_duration_since(self.started_at).as_millis();
        u64::try_from(elapsed).unwrap_or(u64::MAX).max(1)
    }

    /// Records a confirmation that a watching peer got from the store. The confirmation also holds
    /// for this node if the versions are equal; a newer version is fetched from the peer.
    pub fn peer_confirmed(&self, peer: SocketAddr, confirmed: ConfirmedVersion) {
        let Some(requested_at) = BootInstant::now().checked_sub(confirmed.age) else {
            // Older than the clock of this machine can represent, so too old to confirm anything.
            return;
        };
        let mut tables = self.tables();
        tables
            .watchers
            .record_confirmation(peer, confirmed.version, requested_at);
        let version_order = tables
            .configuration
            .record_peer_confirmation(confirmed, requested_at);
        if version_order.is_gt() {
            self.signals.peer_ahead.notify_one();
        }
    }

    /// Returns the last confirmation that the store gave to this node; `None` while this node does
    /// not watch the store.
    #[must_use]
    pub fn confirmed_by_store(&self) -> Option<ConfirmedVersion> {
        let confirmed = self.tables().configuration.confirmed_by_store();
        confirmed.filter(|_| self.is_watcher())
    }

    /// Returns a receiver that is notified whenever the store confirms the configuration to this
    /// node.
    #[must_use]
    pub fn confirmations(&self) -> watch::Receiver<u64> {
        self.signals.confirmations.subscribe()
    }

    /// Returns whether the last confirmation of the configuration is at most `max_age` old.
    #[must_use]
    pub fn is_configuration_fresh(&self, max_age: Duration) -> bool {
        let confirmed_at = self.tables().configuration.confirmed_at();
        confirmed_at.is_some_and(|at| at.elapsed() <= max_age)
    }

    /// Waits until a peer reports a newer configuration.
    pub async fn peer_ahead(&self) {
        self.signals.peer_ahead.notified().await;
    }

    /// Returns the link to a peer that has a newer configuration, if there is one.
    #[must_use]
    pub fn peer_with_newer_configuration(&self) -> Option<Arc<Link>> {
        let tables = self.tables();
        tables
            .peers
            .link_with_newer_configuration(tables.configuration.version())
    }
}
