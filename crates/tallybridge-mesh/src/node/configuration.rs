//! The configuration in force at a node.

use std::{sync::Arc, time::Duration};

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
