//! The member table of one node and its derived indexes.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Instant,
};

use tallybridge_core::{InstanceId, NodeId};

use crate::{
    anti_entropy::Comparisons,
    budget::SendBudget,
    convert::PlacementPool,
    digest::{TableDigest, node_hash},
    event::MemberEvent,
    gossip::GossipRounds,
    local_health::LocalHealth,
    member::{Health, Incarnation, MemberIdentity, MemberRecord, MemberRow},
    merge::Reporter,
    probe::Probes,
    probe_ring::ProbeRing,
    settings::MembershipSettings,
    suspicion::Suspicion,
    update_queue::UpdateQueue,
    zones::ZoneCounts,
};

/// One node's view of the fleet, with the protocol state for keeping it up to date.
#[derive(Debug)]
pub struct MemberTable {
    pub(crate) own: NodeId,
    pub(crate) settings: MembershipSettings,
    pub(crate) members: BTreeMap<NodeId, MemberRow>,
    /// Live members, ordered by the hash of their identity.
    pub(crate) live: BTreeSet<(u64, NodeId)>,
    pub(crate) digest: TableDigest,
    pub(crate) zones: ZoneCounts,
    pub(crate) ring: ProbeRing,
    pub(crate) suspicions: BTreeMap<NodeId, Suspicion>,
    pub(crate) queue: UpdateQueue,
    pub(crate) probes: Probes,
    pub(crate) gossip_rounds: GossipRounds,
    pub(crate) comparisons: Comparisons,
    pub(crate) local_health: LocalHealth,
    pub(crate) budget: SendBudget,
    pub(crate) placements: PlacementPool,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) revision: u64,
    pub(crate) partition_epoch: u64,
    /// Whether another node has recorded this instance as ended.
    pub(crate) superseded: bool,
    pub(crate) events: VecDeque<MemberEvent>,
}

impl MemberTable {
    /// Creates a table that contains only its owner.
    #[must_use]
    pub fn new(identity: MemberIdentity, settings: MembershipSettings, now: Instant) -> Self {
        let mut placements = PlacementPool::default();
        let record = MemberRecord {
            node: identity.node,
            incarnation: Incarnation::default(),
            health: Health::Alive,
            leaving: false,
            placement: placements.intern(identity.placement),
        };
        let catch_up_interval = settings.catch_up_interval;
        let budget = SendBudget::new(settings.bytes_per_second, settings.burst_bytes, now);
        let mut table = Self {
            own: identity.node,
            settings,
            members: BTreeMap::new(),
            live: BTreeSet::new(),
            digest: TableDigest::new(),
            zones: ZoneCounts::default(),
            ring: ProbeRing::default(),
            suspicions: BTreeMap::new(),
            queue: UpdateQueue::default(),
            probes: Probes::new(now),
            gossip_rounds: GossipRounds::new(now),
            comparisons: Comparisons::new(now, catch_up_interval),
            local_health: LocalHealth::default(),
            budget,
            placements,
            seeds: Vec::new(),
            revision: 0,
            partition_epoch: 0,
            superseded: false,
            events: VecDeque::new(),
        };
        table.replace(record, now);
        table.queue.push(identity.node, Reporter::NONE);
        table
    }

    /// Returns the node that owns the table.
    #[must_use]
    pub const fn identity(&self) -> NodeId {
        self.own
    }

    /// Returns all members in order of address, including the owner and members that died or left.
    pub fn members(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().map(|row| &row.record)
    }

    /// Returns the record of a member; `None` if the member is unknown or was purged.
    #[must_use]
    pub fn member(&self, node: NodeId) -> Option<&MemberRecord> {
        self.members.get(&node).map(|row| &row.record)
    }

    /// Removes and returns the events since the last call.
    pub fn events(&mut self) -> Vec<MemberEvent> {
        self.events.drain(..).collect()
    }

    /// Replaces the seeds: addresses for joining the fleet, which are also retried periodically.
    /// The caller passes the current machine list.
    pub fn join(&mut self, seeds: &[SocketAddr]) {
        self.seeds = seeds.to_vec();
        self.seeds.retain(|seed| *seed != self.own.address);
        self.seeds.sort_unstable();
        self.seeds.dedup();
    }

    /// Sets the revision of this node's configuration; a smaller revision is ignored.
    pub fn set_revision(&mut self, revision: u64) {
        if revision > self.revision {
            self.revision = revision;
            self.gossip_rounds
                .announce_revision(self.settings.revision_rounds);
        }
    }

    /// Sets the epoch of this node's partition map; a smaller epoch is ignored.
    pub fn set_partition_epoch(&mut self, epoch: u64) {
        if epoch > self.partition_epoch {
            self.partition_epoch = epoch;
            self.gossip_rounds
                .announce_revision(self.settings.revision_rounds);
        }
    }

    pub(crate) fn own_record(&self) -> &MemberRecord {
        &self.members[&self.own].record
    }

    /// Returns this node's id as a reporter of failed probes; never [`Reporter::NONE`].
    pub(crate) fn reporter(&self) -> Reporter {
        Reporter((node_hash(self.own) as u32).max(1))
    }

    pub(crate) fn is_live(&self, node: NodeId) -> bool {
        self.members
            .get(&node)
            .is_some_and(|row| row.record.health.is_live())
    }

    pub(crate) fn live_rows(&self) -> impl Iterator<Item = &MemberRow> {
        self.live.iter().map(|(_, node)| &self.members[node])
    }

    pub(crate) fn live_count(&self) -> usize {
        self.live.len()
    }

    /// Returns the rows of all instances at an address.
    pub(crate) fn rows_at(&self, address: SocketAddr) -> impl Iterator<Item = &MemberRow> {
        let first = NodeId {
            address,
            instance: InstanceId(u64::MIN),
        };
        let last = NodeId {
            address,
            instance: InstanceId(u64::MAX),
        };
        self.members.range(first..=last).map(|(_, row)| row)
    }

    /// Stores a record, updates the derived indexes and queues the event for the owner.
    pub(crate) fn replace(&mut self, record: MemberRecord, now: Instant) {
        let node = record.node;
        let old = self.members.remove(&node);
        if let Some(row) = &old {
            self.remove_from_indexes(row);
        }
        self.queue.remove_member(node);
        self.update_suspicion(&record, old.as_ref(), now);
        let same_health = old
            .as_ref()
            .filter(|row| row.record.health == record.health);
        let row = MemberRow {
            first_known: old.as_ref().map_or(now, |row| row.first_known),
            health_since: same_health.map_or(now, |row| row.health_since),
            hash: node_hash(node),
            record,
        };
        self.push_event(old.as_ref().map(|row| &row.record), &row.record);
        self.insert_row(row, old.is_some_and(|row| row.record.health.is_live()));
        self.comparisons.record_digest(self.digest.whole(), now);
    }

    fn remove_from_indexes(&mut self, row: &MemberRow) {
        self.zones.remove(&row.record);
        if row.record.health.is_live() {
            self.digest.toggle(row.hash, &row.record);
            self.live.remove(&(row.hash, row.record.node));
        }
    }

    fn insert_row(&mut self, row: MemberRow, was_live: bool) {
        let node = row.record.node;
        let is_live = row.record.health.is_live();
        self.zones.add(&row.record);
        if is_live {
            self.digest.toggle(row.hash, &row.record);
            self.live.insert((row.hash, node));
        }
        if is_live && !was_live && node != self.own {
            self.ring.insert(node, row.hash, node_hash(self.own));
        }
        if was_live && !is_live {
            self.ring.remove(node);
        }
        self.members.insert(node, row);
    }

    fn update_suspicion(&mut self, record: &MemberRecord, old: Option<&MemberRow>, now: Instant) {
        if record.health != Health::Suspect {
            self.suspicions.remove(&record.node);
            return;
        }
        if old.is_none_or(|row| row.record.precedence() < record.precedence()) {
            let suspicion = Suspicion::new(now, &self.settings, self.live_count());
            self.suspicions.insert(record.node, suspicion);
        }
    }

    fn push_event(&mut self, old: Option<&MemberRecord>, new: &MemberRecord) {
        if new.node == self.own {
            return;
        }
        let was_live = old.is_some_and(|record| record.health.is_live());
        let event = match (was_live, new.health) {
            (false, health) if health.is_live() => MemberEvent::Joined(new.clone()),
            (true, Health::Dead) => MemberEvent::Died(new.clone()),
            (true, Health::Left) => MemberEvent::Left(new.clone()),
            (true, _) if old.map(MemberRecord::state) != Some(new.state()) => {
                MemberEvent::Changed(new.clone())
            }
            _ => return,
        };
        self.events.push_back(event);
    }

    /// Removes members that died or left longer than `dead_retention` ago.
    pub(crate) fn purge(&mut self, now: Instant) {
        let retention = self.settings.dead_retention;
        let expired: Vec<NodeId> = self
            .members
            .values()
            .filter(|row| !row.record.health.is_live() && row.record.node != self.own)
            .filter(|row| now.saturating_duration_since(row.health_since) > retention)
            .map(|row| row.record.node)
            .collect();
        for node in expired {
            self.members.remove(&node);
            self.queue.remove_member(node);
        }
    }

    pub(crate) fn intern_placement(
        &mut self,
        placement: crate::Placement,
    ) -> Arc<crate::Placement> {
        self.placements.intern(placement)
    }
}
