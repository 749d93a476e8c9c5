//! The configuration in force: asked for, put in force, and confirmed by the store or by peers.
//!
//! The state is [`ConfigurationTable`](crate::tables::ConfigurationTable); the rules of when the
//! store is read and watched stand in [`tasks::configuration`](crate::tasks::configuration).

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::sync::watch;

use super::Node;
use crate::{
    clock::BootInstant, configuration::Configuration, link::Link, tables::ConfirmedVersion,
};

impl Node {
    /// The configuration in force.
    #[must_use]
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.tables().configuration.in_force().cloned()
    }

    /// The document of the configuration in force.
    #[must_use]
    pub fn configuration_document(&self) -> Option<Bytes> {
        self.tables().configuration.document().cloned()
    }

    /// Whether requests carry keys by the configuration in force.
    #[must_use]
    pub fn has_keys(&self) -> bool {
        let configuration = self.configuration();
        configuration.is_some_and(|configuration| configuration.tenants.is_some())
    }

    /// Takes a configuration into force if it is newer than the one that is; `false` when it can't be read,
    /// so that the one in force may be older.
    pub fn offer_configuration(&self, document: &Bytes) -> bool {
        if self.configuration_document().as_ref() == Some(document) {
            return true;
        }
        let configuration = match self.platform.configuration(document) {
            Ok(configuration) => configuration,
            Err(reason) => {
                tracing::error!(reason, "configuration can't be read, the last one stays");
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
            self.signals.verify.notify_one();
            self.publish();
        }
        true
    }

    /// The store reported the newest version to this node, which has it in force now.
    pub fn note_version_from_store(&self) {
        self.tables().configuration.record_version_from_store();
    }

    /// Whether a version is in force that came from a peer and that the store has not reported to
    /// this node.
    #[must_use]
    pub fn is_ahead_of_store(&self) -> bool {
        self.tables().configuration.is_ahead_of_store()
    }

    /// The store, which this node asked at a time, confirmed that nothing newer is there.
    pub fn configuration_confirmed(&self, asked_at: BootInstant) {
        self.tables().configuration.record_confirmation(asked_at);
        self.signals.confirmations.send_modify(|count| *count += 1);
    }

    /// This node read the newest configuration from the store, which it asked at a time, and has it
    /// in force.
    pub fn configuration_read(&self, asked_at: BootInstant) {
        self.tables().configuration.record_read(asked_at);
        self.configuration_confirmed(asked_at);
    }

    /// Time since the store was asked for the newest configuration that was read, here or at a peer; `None`
    /// if none was.
    #[must_use]
    pub fn read_age(&self) -> Option<Duration> {
        let read_at = self.tables().configuration.read_at();
        read_at.map(|at| at.elapsed())
    }

    /// A time on this node's clock, in milliseconds since its process began; at least 1. Peers date
    /// by it when this node read the configuration.
    #[must_use]
    pub fn clock_ms(&self, at: BootInstant) -> u64 {
        let elapsed = at.saturating_duration_since(self.began).as_millis();
        u64::try_from(elapsed).unwrap_or(u64::MAX).max(1)
    }

    /// The store confirmed the configuration of a peer that watches it. Where it is the one in force here,
    /// that confirms it here as well; a newer one is fetched.
    pub fn peer_confirmed(&self, peer: SocketAddr, confirmed: ConfirmedVersion) {
        let Some(asked_at) = BootInstant::now().checked_sub(confirmed.age) else {
            // From before this machine's clock began: it confirms nothing.
            return;
        };
        let mut tables = self.tables();
        tables
            .watchers
            .record_confirmation(peer, confirmed.version, asked_at);
        let order = tables
            .configuration
            .record_peer_confirmation(confirmed, asked_at);
        if order.is_gt() {
            self.signals.peer_ahead.notify_one();
        }
    }

    /// What the store last confirmed to this node; `None` while it does not watch the store.
    #[must_use]
    pub fn confirmed_by_store(&self) -> Option<ConfirmedVersion> {
        let confirmed = self.tables().configuration.confirmed_by_store();
        confirmed.filter(|_| self.is_watcher())
    }

    /// Fires when the store has confirmed the configuration to this node.
    #[must_use]
    pub fn confirmations(&self) -> watch::Receiver<u64> {
        self.signals.confirmations.subscribe()
    }

    /// Whether the configuration was confirmed within a time.
    #[must_use]
    pub fn is_configuration_fresh(&self, within: Duration) -> bool {
        let confirmed_at = self.tables().configuration.confirmed_at();
        confirmed_at.is_some_and(|at| at.elapsed() <= within)
    }

    /// Waits until a peer has reported a newer configuration.
    pub async fn peer_ahead(&self) {
        self.signals.peer_ahead.notified().await;
    }

    /// A linked node that has a newer configuration.
    #[must_use]
    pub fn peer_with_newer_configuration(&self) -> Option<Arc<Link>> {
        let tables = self.tables();
        tables
            .peers
            .link_with_newer_configuration(tables.configuration.version())
    }
}
