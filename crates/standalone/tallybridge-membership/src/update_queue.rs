//! Updates waiting to be piggybacked.

use std::collections::BTreeMap;

use tallybridge_core::NodeId;
use tallybridge_wire::WireUpdate;

use crate::{
    convert::to_update,
    member::{Health, MemberRecord},
    merge::Reporter,
    table::MemberTable,
};

/// Most updates that wait; beyond, the most sent go first. Comparisons bring what is lost.
const MAX_QUEUED: usize = 128;

/// What is waiting, told apart by the member and by whose probe failed.
type Key = (NodeId, Reporter);

#[derive(Debug)]
struct QueuedUpdate {
    transmits: u32,
    /// Counts up, so that the newest is known.
    arrival: u64,
}

/// A row for each update.
#[derive(Debug, Default)]
pub(crate) struct UpdateQueue {
    updates: BTreeMap<Key, QueuedUpdate>,
    arrivals: u64,
}

impl UpdateQueue {
    /// Queues what is now believed of a member.
    pub(crate) fn push(&mut self, node: NodeId, reporter: Reporter) {
        self.push_sent(node, reporter, 0);
    }

    /// Queues an update as if it had been sent so many times.
    fn push_sent(&mut self, node: NodeId, reporter: Reporter, transmits: u32) {
        self.arrivals += 1;
        let update = QueuedUpdate {
            transmits,
            arrival: self.arrivals,
        };
        self.updates.insert((node, reporter), update);
        if self.updates.len() > MAX_QUEUED {
            self.drop_most_sent();
        }
    }

    /// Forgets what was believed of a member.
    pub(crate) fn forget(&mut self, node: NodeId) {
        let first = (node, Reporter(0));
        let last = (node, Reporter(u32::MAX));
        let keys: Vec<Key> = self
            .updates
            .range(first..=last)
            .map(|(key, _)| *key)
            .collect();
        for key in keys {
            self.updates.remove(&key);
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.updates.len()
    }

    fn drop_most_sent(&mut self) {
        let most_sent = self
            .updates
            .iter()
            .max_by_key(|(_, update)| (update.transmits, std::cmp::Reverse(update.arrival)))
            .map(|(key, _)| *key);
        if let Some(key) = most_sent {
            self.updates.remove(&key);
        }
    }
}

impl MemberTable {
    /// Takes queued updates that fit into the room, in bytes: leaving members first, then the
    /// least sent, then the newest.
    pub(crate) fn queued_updates(&mut self, room: usize) -> Vec<WireUpdate> {
        let mut order: Vec<(bool, u32, std::cmp::Reverse<u64>, Key)> = self
            .queue
            .updates
            .iter()
            .map(|(key, update)| {
                let urgent = self.is_leaving(key.0);
                let newest = std::cmp::Reverse(update.arrival);
                (!urgent, update.transmits, newest, *key)
            })
            .collect();
        order.sort_unstable();
        let mut updates = Vec::new();
        let mut left = room;
        for (.., key) in order {
            let Some(update) = self.wire_update(key) else {
                self.queue.updates.remove(&key);
                continue;
            };
            let length = update.encoded_len();
            if length > left {
                break;
            }
            left -= length;
            updates.push(update);
            self.count_transmit(key);
        }
        updates
    }

    /// Whether a leaving member is among the updates.
    pub(crate) fn has_urgent_update(&self) -> bool {
        self.queue.updates.keys().any(|key| self.is_leaving(key.0))
    }

    /// Queues another node's failed probe of a suspected member. It is sent after news of other
    /// members and less often: it only shortens a suspicion that is known.
    pub(crate) fn push_confirmation(&mut self, node: NodeId, reporter: Reporter) {
        let sent = self.transmit_limit() * 2 / 3;
        self.queue.push_sent(node, reporter, sent);
    }

    fn is_leaving(&self, node: NodeId) -> bool {
        self.members
            .get(&node)
            .is_some_and(|row| row.record.leaving)
    }

    fn wire_update(&self, (node, reporter): Key) -> Option<WireUpdate> {
        let record: &MemberRecord = &self.members.get(&node)?.record;
        Some(to_update(record, reporter, record.health == Health::Alive))
    }

    fn count_transmit(&mut self, key: Key) {
        let limit = self.transmit_limit();
        if let Some(update) = self.queue.updates.get_mut(&key) {
            update.transmits += 1;
            if update.transmits >= limit {
                self.queue.updates.remove(&key);
            }
        }
    }

    /// λ·log2(n + 1), rounded up.
    fn transmit_limit(&self) -> u32 {
        let members = self.live_count() as f64;
        let limit = self.settings.transmit_factor * (members + 1.0).log2();
        limit.ceil().max(1.0) as u32
    }
}
