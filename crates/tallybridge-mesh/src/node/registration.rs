//! The registration of this node and of its delegates, and whether it has read the registry.
//!
//! [`tasks::registration`](crate::tasks::registration) decides who registers a node.

use std::sync::{Arc, atomic::Ordering};

use bytes::Bytes;
use rand::seq::IteratorRandom;
use xxhash_rust::xxh3::xxh3_64;

use super::Node;
use crate::{
    clock::BootInstant,
    link::{Link, framing::FrameSender},
    platform::RegistryEntry,
    protocol::{Frame, Message, NodeRecord},
};

/// Returns the name of a node's entry in the registry, which is the node's name after a hash of it.
fn registry_name(node: &str) -> String {
    registry_name_prefix(node) + node
}

/// Returns the part of the entry's name that precedes the node's name.
#[must_use]
pub fn registry_name_prefix(node: &str) -> String {
    let hash = xxh3_64(node.as_bytes()) >> (u64::BITS - u16::BITS);
    format!("{hash:04x}-")
}

impl Node {
    /// Waits until the registered record of this node needs to be updated.
    pub async fn record_changed(&self) {
        self.signals.record_changed.notified().await;
    }

    /// Returns the entry of this node in the registry.
    #[must_use]
    pub fn registry_entry(&self) -> RegistryEntry {
        RegistryEntry {
            name: registry_name(&self.record.node),
            value: self.registered_record(),
        }
    }

    /// Records that the registry was read and its nodes were added to the peer table.
    pub fn registry_read(&self) {
        self.has_read_registry.store(true, Ordering::Relaxed);
        self.signals.registry_read.notify_one();
    }

    /// Returns whether the registry was read since this process started.
    #[must_use]
    pub fn has_read_registry(&self) -> bool {
        self.has_read_registry.load(Ordering::Relaxed)
    }

    /// Wakes the reader of the registry, because this node may have missed changes of it.
    pub fn suspect_registry(&self) {
        self.signals.registry_suspected.notify_one();
    }

    /// Waits until the registry should be read before its time.
    pub async fn registry_suspected(&self) {
        self.signals.registry_suspected.notified().await;
    }

    /// Waits until the registry was read since this process started.
    pub async fn first_registry_read(&self) {
        while !self.has_read_registry() {
            self.signals.registry_read.notified().await;
        }
    }

    /// Records the lease under which this node registered itself, or `None` after its end.
    pub fn set_lease(&self, lease: Option<u64>) {
        self.lease.store(lease.unwrap_or(0), Ordering::Relaxed);
    }

    /// Returns the lease under which this node registered itself; `None` if it did not.
    #[must_use]
    pub fn lease(&self) -> Option<u64> {
        let lease = self.lease.load(Ordering::Relaxed);
        (lease != 0).then_some(lease)
    }

    /// Returns whether this node or a registrar keeps this node in the registry.
    #[must_use]
    pub fn is_registered(&self) -> bool {
        self.lease().is_some() || self.has_registrar.load(Ordering::Relaxed)
    }

    /// Returns whether other nodes can learn of this one from the registry: it is registered, or its
    /// entry from before a restart was found there.
    #[must_use]
    pub fn is_listed(&self) -> bool {
        self.is_registered() || self.was_listed.load(Ordering::Relaxed)
    }
}

/// A registration by a peer.
impl Node {
    /// Selects a peer at random that watches the store, and can therefore write to it, and that
    /// registers peers. Avoids the peer named `except` if there are others.
    #[must_use]
    pub fn choose_registrar(&self, except: Option<&str>) -> Option<Arc<Link>> {
        let tables = self.tables();
        let version = tables.configuration.version();
        let watchers: Vec<_> = tables
            .watchers
            .confirming(version, BootInstant::now())
            .filter_map(|address| tables.peers.link_to_registrar(address))
            .collect();
        let others = watchers.iter().filter(|link| Some(link.peer()) != except);
        let chosen = others.choose(&mut rand::rng()).or(watchers.first());
        chosen.cloned()
    }

    /// Requests a peer to keep this node's record in the registry. Earlier answers are forgotten.
    pub fn request_registration(&self, registrar: &Link) {
        self.signals.registered_by.send_replace(None);
        registrar.send(&Frame::without_call(Message::Register(
            self.registered_record(),
        )));
    }

    /// Records that the peer of a link keeps this node's record in the registry.
    pub fn registered_by(&self, registrar: &Link) {
        let name = registrar.peer().to_owned();
        self.signals.registered_by.send_replace(Some(name));
    }

    /// Waits until the peer of a link keeps this node's record in the registry.
    pub async fn registration_by(&self, registrar: &Link) {
        let mut registered_by = self.signals.registered_by.subscribe();
        let is_by_registrar = |name: &Option<String>| name.as_deref() == Some(registrar.peer());
        // Fails only if the sender is dropped, and this node owns the sender.
        let _ = registered_by.wait_for(is_by_registrar).await;
    }

    /// Records whether a registrar keeps this node in the registry.
    pub fn set_has_registrar(&self, has_registrar: bool) {
        self.has_registrar.store(has_registrar, Ordering::Relaxed);
    }
}

/// The registrations that this node keeps for its peers.
impl Node {
    /// Handles a peer's request to keep its record in the registry. A node that has no lease and
    /// will not get one, or is about to end it, does not answer, so that the peer requests another.
    pub fn register_peer(&self, record: Bytes, sender: &FrameSender) {
        let has_lease = self.lease().is_some() || self.is_watcher();
        if !has_lease || self.is_stopping() {
            return;
        }
        let name = match serde_json::from_slice::<NodeRecord>(&record) {
            Ok(record) => registry_name(&record.node),
            Err(error) => {
                tracing::warn!(%error, "cannot decode the record of a peer; not registering it");
                return;
            }
        };
        let now = BootInstant::now();
        let delegates = &mut self.tables().delegates;
        if delegates.request(name, record, sender.clone(), now) {
            self.signals.delegates_changed.notify_one();
        }
    }

    /// Waits until a delegate's record must be written.
    pub async fn delegates_changed(&self) {
        self.signals.delegates_changed.notified().await;
    }

    /// Returns the entries of delegates that the registry does not hold yet.
    #[must_use]
    pub fn unstored_delegates(&self) -> Vec<RegistryEntry> {
        self.tables().delegates.unstored()
    }

    /// Records that this node's lease was granted or renewed.
    pub fn lease_renewed(&self) {
        self.tables().delegates.lease_renewed(BootInstant::now());
    }

    /// Records that the registry holds entries under this node's lease.
    pub fn delegates_stored(&self, entries: &[RegistryEntry]) {
        self.tables().delegates.mark_stored(entries);
    }

    /// Forgets delegates that stopped requesting. Returns whether the registry holds entries of
    /// forgotten delegates under this node's lease.
    pub fn remove_expired_delegates(&self) -> bool {
        let now = BootInstant::now();
        self.tables().delegates.remove_expired(now)
    }

    /// Records that this node's lease has ended, and with it the entries of the delegates.
    pub fn delegates_lost(&self) {
        self.set_lease(None);
        self.delegate_entries_outdated();
    }

    /// Records that this node has another lease, under which it must write all entries again.
    pub fn delegate_entries_outdated(&self) {
        self.tables().delegates.lease_replaced();
    }

    /// Returns whether this node keeps records of peers in the registry.
    #[must_use]
    pub fn has_delegates(&self) -> bool {
        !self.tables().delegates.is_empty()
    }
}
