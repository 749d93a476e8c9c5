//! The configuration in force at a node, and how sure the node is that it is the newest.
//!
//! Confirmed and read are two grades of that; what each means and what it is good for stands in
//! [`tasks::configuration`](crate::tasks::configuration).

use std::{cmp, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::sync::watch;

use super::{InForce, Node};
use crate::{clock::BootInstant, configuration::Configuration, link::Link};

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

impl Node {
    /// The configuration in force.
    #[must_use]
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        let tables = self.tables();
        let in_force = tables.configuration.as_ref();
        in_force.map(|in_force| in_force.configuration.clone())
    }

    /// The document of the configuration in force.
    #[must_use]
    pub fn configuration_document(&self) -> Option<Bytes> {
        let tables = self.tables();
        let in_force = tables.configuration.as_ref();
        in_force.map(|in_force| in_force.document.clone())
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
        {
            let mut tables = self.tables();
            let current = tables.configuration.as_ref();
            if current.is_some_and(|current| current.configuration.version >= version) {
                return true;
            }
            tables.configuration = Some(InForce {
                configuration: Arc::new(configuration),
                document: document.clone(),
            });
        }
        tracing::info!(version, "configuration in force");
        self.signals.verify.notify_one();
        self.publish();
        true
    }

    /// The store reported the newest version to this node, which has it in force now.
    pub fn note_version_from_store(&self) {
        let mut tables = self.tables();
        tables.version_from_store = tables.version();
    }

    /// Whether a version is in force that came from a peer and that the store has not reported to
    /// this node.
    #[must_use]
    pub fn is_ahead_of_store(&self) -> bool {
        let tables = self.tables();
        tables.version() > tables.version_from_store
    }

    /// The store, which this node asked at a time, confirmed that nothing newer is there.
    pub fn configuration_confirmed(&self, asked_at: BootInstant) {
        let mut tables = self.tables();
        tables.configuration_confirmed = tables.configuration_confirmed.max(Some(asked_at));
        tables.confirmed_by_store = Some(asked_at);
        drop(tables);
        self.signals.confirmations.send_modify(|count| *count += 1);
    }

    /// This node read the newest configuration from the store, which it asked at a time, and has it
    /// in force.
    pub fn configuration_read(&self, asked_at: BootInstant) {
        let mut tables = self.tables();
        tables.read_at = tables.read_at.max(Some(asked_at));
        drop(tables);
        self.configuration_confirmed(asked_at);
    }

    /// Time since the store was asked for the newest configuration that was read, here or at a peer; `None`
    /// if none was.
    #[must_use]
    pub fn read_age(&self) -> Option<Duration> {
        self.tables().read_at.map(|at| at.elapsed())
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
    pub fn peer_confirmed(&self, peer: SocketAddr, confirmed: Confirmed) {
        let Some(asked_at) = BootInstant::now().checked_sub(confirmed.age) else {
            // From before this machine's clock began: it confirms nothing.
            return;
        };
        let mut tables = self.tables();
        tables.watchers.confirmed(peer, confirmed.version, asked_at);
        if confirmed.version <= tables.version() {
            // Whatever this node has in force is at least as new as what was read then.
            tables.read_at = tables.read_at.max(confirmed.read_at);
        }
        match confirmed.version.cmp(&tables.version()) {
            cmp::Ordering::Less => {}
            cmp::Ordering::Equal => {
                tables.configuration_confirmed = tables.configuration_confirmed.max(Some(asked_at));
            }
            cmp::Ordering::Greater => self.signals.peer_ahead.notify_one(),
        }
    }

    /// What the store last confirmed to this node; `None` while it does not watch the store.
    #[must_use]
    pub fn confirmed_by_store(&self) -> Option<Confirmed> {
        let tables = self.tables();
        let asked_at = tables.confirmed_by_store?;
        self.is_watcher().then(|| Confirmed {
            version: tables.version(),
            age: asked_at.elapsed(),
            read_at: tables.read_at,
        })
    }

    /// Fires when the store has confirmed the configuration to this node.
    #[must_use]
    pub fn confirmations(&self) -> watch::Receiver<u64> {
        self.signals.confirmations.subscribe()
    }

    /// Whether the configuration was confirmed within a time.
    #[must_use]
    pub fn is_configuration_fresh(&self, within: Duration) -> bool {
        let confirmed = self.tables().configuration_confirmed;
        confirmed.is_some_and(|at| at.elapsed() <= within)
    }

    /// Waits until a peer has reported a newer configuration.
    pub async fn peer_ahead(&self) {
        self.signals.peer_ahead.notified().await;
    }

    /// A linked node that has a newer configuration.
    #[must_use]
    pub fn peer_with_newer_configuration(&self) -> Option<Arc<Link>> {
        let tables = self.tables();
        tables.peers.with_newer(tables.version())
    }
}
