//! The configuration in force at a node.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use tokio::time::Instant;

use super::{InForce, Node};
use crate::{configuration::Configuration, peer::link::Link};

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

    /// Takes a configuration into force if it is newer than the one that is.
    pub fn offer_configuration(&self, document: &Bytes) {
        let configuration = match self.platform.configuration(document) {
            Ok(configuration) => configuration,
            Err(reason) => {
                tracing::error!(reason, "configuration can't be read, the last one stays");
                return;
            }
        };
        let version = configuration.version;
        {
            let mut tables = self.tables();
            let current = tables.configuration.as_ref();
            if current.is_some_and(|current| current.configuration.version >= version) {
                return;
            }
            tables.configuration = Some(InForce {
                configuration: Arc::new(configuration),
                document: document.clone(),
            });
        }
        tracing::info!(version, "configuration in force");
        self.verify.notify_one();
        self.publish();
    }

    /// The store, or a peer, confirmed that nothing newer is there.
    pub fn configuration_confirmed(&self) {
        self.tables().configuration_confirmed = Some(Instant::now());
    }

    /// A watch waits for the store for as long as what is returned lives.
    #[must_use]
    pub fn watch_waits(&self) -> WaitingWatch<'_> {
        self.watch_waits.store(true, Ordering::Relaxed);
        WaitingWatch(&self.watch_waits)
    }

    /// The store answered something else: a watch that waits would have told of a change.
    pub fn confirm_by_waiting_watch(&self) {
        if self.watch_waits.load(Ordering::Relaxed) {
            self.configuration_confirmed();
        }
    }

    /// Something shows that the watch that waits, if there is one, may never be answered.
    pub fn doubt_watch(&self) {
        if self.watch_waits.load(Ordering::Relaxed) {
            self.watch_doubted.notify_one();
        }
    }

    /// Waits until the watch that waits is doubted.
    pub async fn watch_doubted(&self) {
        self.watch_doubted.notified().await;
    }

    /// Whether the configuration was confirmed within a time.
    #[must_use]
    pub fn is_configuration_fresh(&self, within: Duration) -> bool {
        let confirmed = self.tables().configuration_confirmed;
        confirmed.is_some_and(|at| at.elapsed() <= within)
    }

    /// A linked node that has a newer configuration.
    #[must_use]
    pub fn peer_with_newer_configuration(&self) -> Option<Arc<Link>> {
        let tables = self.tables();
        let version = tables
            .configuration
            .as_ref()
            .map_or(0, |in_force| in_force.configuration.version);
        tables.peers.with_newer(version)
    }
}

/// A watch that waits for the store.
#[derive(Debug)]
pub struct WaitingWatch<'a>(&'a AtomicBool);

impl Drop for WaitingWatch<'_> {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Relaxed);
    }
}
