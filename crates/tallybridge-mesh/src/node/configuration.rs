//! The configuration in force at a node.

use std::{
    cmp,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use tokio::sync::watch;

use super::{InForce, Node};
use crate::{clock::BootInstant, configuration::Configuration, link::Link};

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

    /// Takes a configuration into force if it is newer than the one that is; `false` when it can't
    /// be read, so that the one in force may be older.
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
        self.verify.notify_one();
        self.publish();
        true
    }

    /// The store told this node of the newest version, which is in force now.
    pub fn store_has_told(&self) {
        let mut tables = self.tables();
        tables.version_from_store = tables.version();
    }

    /// Whether a peer told of a version that the store has not told this node of.
    #[must_use]
    pub fn is_ahead_of_store(&self) -> bool {
        let tables = self.tables();
        tables.version() > tables.version_from_store
    }

    /// The store confirmed to this node, which asked it at a time, that nothing newer is there.
    pub fn configuration_confirmed(&self, asked_at: BootInstant) {
        let mut tables = self.tables();
        tables.configuration_confirmed = tables.configuration_confirmed.max(Some(asked_at));
        tables.confirmed_by_store = Some(asked_at);
        drop(tables);
        self.confirmations.send_modify(|epoch| *epoch += 1);
    }

    /// This node read the newest configuration from the store, which it asked at a time, and has it
    /// in force.
    pub fn configuration_read(&self, asked_at: BootInstant) {
        let mut tables = self.tables();
        tables.read_at = tables.read_at.max(Some(asked_at));
        drop(tables);
        self.configuration_confirmed(asked_at);
    }

    /// The store confirmed the configuration of a peer that watches it. Where it is the one in force
    /// here, that confirms it here as well; a newer one is asked for.
    pub fn peer_confirmed(&self, peer: SocketAddr, confirmed: Confirmed) {
        let Some(asked_at) = BootInstant::now().checked_sub(confirmed.age) else {
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
            cmp::Ordering::Greater => self.peer_ahead.notify_one(),
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
        self.confirmations.subscribe()
    }

    /// Waits until a peer has told of a newer configuration.
    pub async fn peer_ahead(&self) {
        self.peer_ahead.notified().await;
    }

    /// Who watches the store, as far as this node sees.
    #[must_use]
    pub fn watch_view(&self) -> WatchView {
        let tables = self.tables();
        WatchView {
            known: tables.peers.known_size(),
            wanted: tables.peers.subset_size() - 1,
            reached: tables.peers.reached(),
            confirming: tables
                .watchers
                .confirming(tables.version(), BootInstant::now()),
        }
    }

    /// This node watches the store for as long as what is returned lives.
    #[must_use]
    pub fn watches(&self) -> WatcherRole<'_> {
        self.is_watcher.store(true, Ordering::Relaxed);
        self.became_watcher.notify_one();
        WatcherRole(&self.is_watcher)
    }

    /// Whether this node watches the store.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        self.is_watcher.load(Ordering::Relaxed)
    }

    /// Waits until this node begins to watch the store.
    pub async fn became_watcher(&self) {
        self.became_watcher.notified().await;
    }

    /// A watch waits for the store for as long as what is returned lives.
    #[must_use]
    pub fn watch_pending(&self) -> PendingWatch<'_> {
        self.watch_pending.store(true, Ordering::Relaxed);
        PendingWatch(&self.watch_pending)
    }

    /// The store answered something else that it was asked at a time: a watch that waits would have
    /// told of a change.
    pub fn confirm_by_pending_watch(&self, asked_at: BootInstant) {
        if self.watch_pending.load(Ordering::Relaxed) {
            self.configuration_confirmed(asked_at);
        }
    }

    /// Something shows that the watch that waits, if there is one, may never be answered.
    pub fn suspect_watch(&self) {
        if self.watch_pending.load(Ordering::Relaxed) {
            self.watch_suspected.notify_one();
        }
    }

    /// Waits until the watch that waits is doubted.
    pub async fn watch_suspected(&self) {
        self.watch_suspected.notified().await;
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
        tables.peers.with_newer(tables.version())
    }
}

/// A version that the store confirmed to be the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Confirmed {
    /// The version; 0 for none.
    pub version: u64,
    /// Time since the store was asked.
    pub age: Duration,
    /// When the configuration was asked for that was last read from the store itself.
    pub read_at: Option<BootInstant>,
}

/// Who watches the store, as a node sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchView {
    /// Nodes that it knows of, itself included.
    pub known: usize,
    /// Nodes that it links to, or tries to.
    pub wanted: usize,
    /// Those of them that it reaches.
    pub reached: usize,
    /// Those of them to which the store confirmed its version, or a newer one, lately.
    pub confirming: usize,
}

/// A node that watches the store.
#[derive(Debug)]
pub struct WatcherRole<'a>(&'a AtomicBool);

impl Drop for WatcherRole<'_> {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Relaxed);
    }
}

/// A watch that waits for the store.
#[derive(Debug)]
pub struct PendingWatch<'a>(&'a AtomicBool);

impl Drop for PendingWatch<'_> {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Relaxed);
    }
}
