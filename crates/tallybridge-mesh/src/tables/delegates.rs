//! Records that this node keeps in the registry for its peers.
//!
//! In a large fleet a node does not register itself but requests a peer to do so
//! ([`tasks::registration`](crate::tasks::registration)), and repeats the request for as long as it
//! needs the entry. A registrar writes the records of its delegates under its own lease, many in one
//! call. A delegate that stops requesting is forgotten; its entry ends with the lease.

use std::{collections::HashMap, time::Duration};

use bytes::Bytes;

use crate::{
    clock::BootInstant, link::framing::FrameSender, platform::RegistryEntry, protocol::Message,
};

/// Time after its last request for which a node stays a delegate. It covers two requests.
const DELEGATE_TTL: Duration = Duration::from_secs(12);
/// Age of the last renewal up to which the lease is trusted to hold its entries. It exceeds the time
/// between renewals of a node that does not watch the store.
const MAX_RENEWAL_AGE: Duration = Duration::from_secs(8);
/// Bounds memory to 4 MB, at the size of two thousand records. Further nodes are not answered and
/// request another registrar.
const MAX_DELEGATES: usize = 2048;

/// A node whose record this node keeps in the registry.
#[derive(Debug)]
struct Delegate {
    record: Bytes,
    requested_at: BootInstant,
    /// Whether the registry holds the record under the current lease.
    is_stored: bool,
    /// Sends messages to the node.
    sender: FrameSender,
}

/// Nodes whose records this node keeps in the registry, by the names of their entries.
#[derive(Debug, Default)]
pub struct Delegates {
    by_entry: HashMap<String, Delegate>,
    /// When the current lease was granted or last renewed.
    renewed_at: Option<BootInstant>,
    /// Whether the registry holds records of forgotten delegates under the current lease.
    has_outdated_entries: bool,
}

impl Delegates {
    /// Records the request of a node, and answers it if the registry already holds the record and the
    /// lease was renewed lately. Returns whether the record must be written.
    pub fn request(
        &mut self,
        entry_name: String,
        record: Bytes,
        sender: FrameSender,
        now: BootInstant,
    ) -> bool {
        let current = self.by_entry.get(&entry_name);
        if current.is_none() && self.by_entry.len() >= MAX_DELEGATES {
            return false;
        }
        let is_stored =
            current.is_some_and(|delegate| delegate.is_stored && delegate.record == record);
        if is_stored && self.is_lease_trusted(now) {
            sender.send_message(Message::Registered);
        }
        let delegate = Delegate {
            record,
            requested_at: now,
            is_stored,
            sender,
        };
        self.by_entry.insert(entry_name, delegate);
        !is_stored
    }

    /// Records that the lease was granted or renewed.
    pub const fn lease_renewed(&mut self, now: BootInstant) {
        self.renewed_at = Some(now);
    }

    fn is_lease_trusted(&self, now: BootInstant) -> bool {
        self.renewed_at
            .is_some_and(|at| now.saturating_duration_since(at) <= MAX_RENEWAL_AGE)
    }

    /// Returns whether there are no delegates.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_entry.is_empty()
    }

    /// Returns the entries that the registry does not hold yet.
    #[must_use]
    pub fn unstored(&self) -> Vec<RegistryEntry> {
        let unstored = self
            .by_entry
            .iter()
            .filter(|(_, delegate)| !delegate.is_stored);
        let entry = |(name, delegate): (&String, &Delegate)| RegistryEntry {
            name: name.clone(),
            value: delegate.record.clone(),
        };
        unstored.map(entry).collect()
    }

    /// Records that the registry holds entries, and tells the delegates whose records they are.
    pub fn mark_stored(&mut self, entries: &[RegistryEntry]) {
        for entry in entries {
            let delegate = self.by_entry.get_mut(&entry.name);
            if let Some(delegate) = delegate.filter(|delegate| delegate.record == entry.value) {
                delegate.is_stored = true;
                delegate.sender.send_message(Message::Registered);
            }
        }
    }

    /// Forgets the delegates that stopped requesting. Returns whether the registry holds entries of
    /// forgotten delegates, which end only with the lease.
    pub fn remove_expired(&mut self, now: BootInstant) -> bool {
        let is_expired = |delegate: &Delegate| {
            now.saturating_duration_since(delegate.requested_at) >= DELEGATE_TTL
        };
        let expired = self.by_entry.extract_if(|_, delegate| is_expired(delegate));
        self.has_outdated_entries |= expired.filter(|(_, delegate)| delegate.is_stored).count() > 0;
        self.has_outdated_entries
    }

    /// Records that the node gets another lease, under which the registry holds no entries yet.
    pub fn lease_replaced(&mut self) {
        self.has_outdated_entries = false;
        for delegate in self.by_entry.values_mut() {
            delegate.is_stored = false;
        }
    }
}
