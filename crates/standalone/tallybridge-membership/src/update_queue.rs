//! Queue of updates to piggyback on outgoing datagrams.

use std::collections::BTreeMap;

use tallybridge_core::NodeId;
use tallybridge_wire::WireUpdate;

use crate::{
    convert::to_update,
    member::{Health, MemberRecord},
    merge::Reporter,
    table::MemberTable,
};

/// Queue capacity. When it is exceeded, the update with the most transmissions is dropped;
/// comparisons repair the loss.
const MAX_QUEUED: usize = 128;

/// Member of the update, and the node whose probe of the member failed.
type UpdateKey = (NodeId, Reporter);

#[derive(Debug)]
struct QueuedUpdate {
    transmits: u32,
    /// Sequence number in order of insertion.
    arrival: u64,
}

#[derive(Debug, Default)]
pub(crate) struct UpdateQueue {
    updates: BTreeMap<UpdateKey, QueuedUpdate>,
    arrivals: u64,
}

impl UpdateQueue {
    /// Queues the current record of a member.
    pub(crate) fn push(&mut self, node: NodeId, reporter: Reporter) {
        self.push_with_transmits(node, reporter, 0);
    }

    /// Queues an update with an initial transmission count.
    fn push_with_transmits(&mut self, node: NodeId, reporter: Reporter, transmits: u32) {
        self.arrivals += 1;
        let update = QueuedUpdate {
            transmits,
            arrival: self.arrivals,
        };
        self.updates.insert((node, reporter), update);
        if self.updates.len() > MAX_QUEUED {
            self.drop_most_transmitted();
        }
    }

    /// Removes all updates about a member.
    pub(crate) fn remove_member(&mut self, node: NodeId) {
        let first = (node, Reporter(0));
        let last = (node, Reporter(u32::MAX));
        let keys: Vec<UpdateKey> = self
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

    fn drop_most_transmitted(&mut self) {
        let most_transmitted = self
            .updates
            .iter()
            .max_by_key(|(_, update)| (update.transmits, std::cmp::Reverse(update.arrival)))
            .map(|(key, _)| *key);
        if let Some(key) = most_transmitted {
            self.updates.remove(&key);
        }
    }
}

impl MemberTable {
    /// Returns queued updates that fit into `room` bytes and counts their transmission. Leaving
    /// members come first, then the least transmitted updates, then the newest.
    pub(crate) fn queued_updates(&mut self, room: usize) -> Vec<WireUpdate> {
        let mut order: Vec<(bool, u32, std::cmp::Reverse<u64>, UpdateKey)> = self
            .queue
            .updates
            .iter()
            .map(|(key, update)| {
                let leaving = self.is_leaving(key.0);
                let newest = std::cmp::Reverse(update.arrival);
                (!leaving, update.transmits, newest, *key)
            })
            .collect();
        order.sort_unstable();
        let mut updates = Vec::new();
        let mut remaining = room;
        for (.., key) in order {
            let Some(update) = self.wire_update(key) else {
                self.queue.updates.remove(&key);
                continue;
            };
            let length = update.encoded_len();
            if length > remaining {
                break;
            }
            remaining -= length;
            updates.push(update);
            self.count_transmit(key);
        }
        updates
    }

    pub(crate) fn has_leaving_update(&self) -> bool {
        self.queue.updates.keys().any(|key| self.is_leaving(key.0))
    }

    /// Queues a confirmation of a known suspicion. Confirmations only shorten a suspicion, so they
    /// start with a transmission count and are sent later and less often than other updates.
    pub(crate) fn push_confirmation(&mut self, node: NodeId, reporter: Reporter) {
        let initial_transmits = self.transmit_limit() * 2 / 3;
        self.queue
            .push_with_transmits(node, reporter, initial_transmits);
    }

    fn is_leaving(&self, node: NodeId) -> bool {
        self.members
            .get(&node)
            .is_some_and(|row| row.record.leaving)
    }

    fn wire_update(&self, (node, reporter): UpdateKey) -> Option<WireUpdate> {
        let record: &MemberRecord = &self.members.get(&node)?.record;
        Some(to_update(record, reporter, record.health == Health::Alive))
    }

    fn count_transmit(&mut self, key: UpdateKey) {
        let limit = self.transmit_limit();
        if let Some(update) = self.queue.updates.get_mut(&key) {
            update.transmits += 1;
            if update.transmits >= limit {
                self.queue.updates.remove(&key);
            }
        }
    }

    /// Returns λ·log2(n + 1), rounded up, for n live members.
    fn transmit_limit(&self) -> u32 {
        let members = self.live_count() as f64;
        let limit = self.settings.transmit_factor * (members + 1.0).log2();
        limit.ceil().max(1.0) as u32
    }
}
