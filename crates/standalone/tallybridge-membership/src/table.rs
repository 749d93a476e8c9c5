//! The members table of one node.

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
    gossip::Rounds,
    local_health::LocalHealth,
    member::{Health, Incarnation, MemberIdentity, MemberRecord, MemberRow},
    merge::Reporter,
    probe::Probes,
    probe_ring::ProbeRing,
    settings::MembershipSettings,
    suspicion::Suspicion,
    update_queue::UpdateQueue,
    zones::Zones,
};

/// Everything that one node believes about the fleet.
#[derive(Debug)]
pub struct MemberTable {
    pub(crate) own: NodeId,
    pub(crate) settings: MembershipSettings,
    pub(crate) members: BTreeMap<NodeId, MemberRow>,
    /// Live members by the digest of their identity.
    pub(crate) live: BTreeSet<(u64, NodeId)>,
    pub(crate) digest: TableDigest,
    pub(crate) zones: Zones,
    pub(crate) ring: ProbeRing,
    pub(crate) suspicions: BTreeMap<NodeId, Suspicion>,
    pub(crate) queue: UpdateQueue,
    pub(crate) probes: Probes,
    pub(crate) rounds: Rounds,
    pub(crate) comparisons: Comparisons,
    pub(crate) local_health: LocalHealth,
    pub(crate) budget: SendBudget,
    pub(crate) placements: PlacementPool,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) revision: u64,
    pub(crate) partition_epoch: u64,
    /// Another instance was found at this node's address.
    pub(crate) superseded: bool,
    pub(crate) events: VecDeque<MemberEvent>,
}

impl MemberTable {
    /// A table that knows only its owner.
    #[must_use]
    pub fn new(identity: MemberIdentity, settings: MembershipSettings, now: Instant) -> Self {
        let mut placements = PlacementPool::default();
        let record = MemberRecord {
            node: identity.node,
            incarnation: Incarnation::default(),
            health: Health::Alive,
            leaving: false,
            placement: placements.share(identity.placement),
        };
        let catch_up_interval = settings.catch_up_interval;
        let budget = SendBudget::new(settings.bytes_per_second, settings.burst_bytes, now);
        let mut table = Self {
            own: identity.node,
            settings,
            members: BTreeMap::new(),
            live: BTreeSet::new(),
            digest: TableDigest::new(),
            zones: Zones::default(),
            ring: ProbeRing::default(),
            suspicions: BTreeMap::new(),
            queue: UpdateQueue::default(),
            probes: Probes::new(now),
            rounds: Rounds::new(now),
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

    /// Who owns the table.
    #[must_use]
    pub const fn identity(&self) -> NodeId {
        self.own
    }

    /// All members known, the owner and the dead included, in order of address.
    pub fn members(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().map(|row| &row.record)
    }

    /// One member.
    #[must_use]
    pub fn member(&self, node: NodeId) -> Option<&MemberRecord> {
        self.members.get(&node).map(|row| &row.record)
    }

    /// Takes what has happened since the last time.
    pub fn events(&mut self) -> Vec<MemberEvent> {
        self.events.drain(..).collect()
    }

    /// Addresses to start from, and to try again from time to time: the machine list as it is now.
    pub fn join(&mut self, seeds: &[SocketAddr]) {
        self.seeds = seeds.to_vec();
        self.seeds.retain(|seed| *seed != self.own.address);
        self.seeds.sort_unstable();
        self.seeds.dedup();
    }

    /// Sets the revision of this node's configuration; a lesser one is ignored.
    pub fn set_revision(&mut self, revision: u64) {
        if revision > self.revision {
            self.revision = revision;
            self.rounds.tell_revision(self.settings.revision_rounds);
        }
    }

    /// Sets the epoch of this node's partition map; a lesser one is ignored.
    pub fn set_partition_epoch(&mut self, epoch: u64) {
        if epoch > self.partition_epoch {
            self.partition_epoch = epoch;
            self.rounds.tell_revision(self.settings.revision_rounds);
        }
    }

    pub(crate) fn own_record(&self) -> &MemberRecord {
        &self.members[&self.own].record
    }

    /// This node as a reporter of failed probes; never [`Reporter::NONE`].
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

    /// Instances known at an address.
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

    /// Puts a record in place of what was believed, and brings all that is derived up to date.
    pub(crate) fn replace(&mut self, record: MemberRecord, now: Instant) {
        let node = record.node;
        let old = self.members.remove(&node);
        if let Some(row) = &old {
            self.take_out(row);
        }
        self.queue.forget(node);
        self.follow_suspicion(&record, old.as_ref(), now);
        let same_health = old
            .as_ref()
            .filter(|row| row.record.health == record.health);
        let row = MemberRow {
            first_known: old.as_ref().map_or(now, |row| row.first_known),
            since: same_health.map_or(now, |row| row.since),
            hash: node_hash(node),
            record,
        };
        self.tell(old.as_ref().map(|row| &row.record), &row.record);
        self.put_in(row, old.is_some_and(|row| row.record.health.is_live()));
        self.comparisons.changed(self.digest.whole(), now);
    }

    fn take_out(&mut self, row: &MemberRow) {
        self.zones.remove(&row.record);
        if row.record.health.is_live() {
            self.digest.toggle(row.hash, &row.record);
            self.live.remove(&(row.hash, row.record.node));
        }
    }

    fn put_in(&mut self, row: MemberRow, was_live: bool) {
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

    fn follow_suspicion(&mut self, record: &MemberRecord, old: Option<&MemberRow>, now: Instant) {
        if record.health != Health::Suspect {
            self.suspicions.remove(&record.node);
            return;
        }
        if old.is_none_or(|row| row.record.precedence() < record.precedence()) {
            let suspicion = Suspicion::new(now, &self.settings, self.live_count());
            self.suspicions.insert(record.node, suspicion);
        }
    }

    fn tell(&mut self, old: Option<&MemberRecord>, new: &MemberRecord) {
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

    /// Forgets members that have been gone for long.
    pub(crate) fn purge(&mut self, now: Instant) {
        let retention = self.settings.dead_retention;
        let forgotten: Vec<NodeId> = self
            .members
            .values()
            .filter(|row| !row.record.health.is_live() && row.record.node != self.own)
            .filter(|row| now.saturating_duration_since(row.since) > retention)
            .map(|row| row.record.node)
            .collect();
        for node in forgotten {
            self.members.remove(&node);
            self.queue.forget(node);
        }
    }

    /// Shares a placement among rows.
    pub(crate) fn share(&mut self, placement: crate::Placement) -> Arc<crate::Placement> {
        self.placements.share(placement)
    }
}
