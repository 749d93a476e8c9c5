//! Messages about claims.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use tallybridge_claims::{PartitionEntry, PartitionId, PartitionMap, SyncReport};
use tallybridge_core::NodeId;
use tallybridge_wire::{Message, claim::ClaimCopy};
use xtra::prelude::*;

use super::NodeActor;
use crate::{clock::unix_ms, systems::claims};

/// A message for the claims that this node holds.
pub struct ClaimMessage {
    /// The node that sent it.
    pub source: NodeId,
    /// The message.
    pub message: Message,
}

impl Handler<ClaimMessage> for NodeActor {
    type Return = Option<Message>;

    async fn handle(
        &mut self,
        ClaimMessage { source, message }: ClaimMessage,
        _context: &mut Context<Self>,
    ) -> Self::Return {
        let table = &mut self.tables.claims.table;
        table.handle(source, &message, unix_ms())
    }
}

/// Asks for the replicas of a partition.
pub struct EntryOf(pub PartitionId);

impl Handler<EntryOf> for NodeActor {
    type Return = Option<PartitionEntry>;

    async fn handle(
        &mut self,
        EntryOf(partition): EntryOf,
        _context: &mut Context<Self>,
    ) -> Self::Return {
        self.tables.claims.entry(partition).cloned()
    }
}

/// Takes over a map, from the store or from a peer, and tells the fleet of it.
pub struct ApplyPartitionMap(pub PartitionMap);

impl Handler<ApplyPartitionMap> for NodeActor {
    type Return = ();

    async fn handle(
        &mut self,
        ApplyPartitionMap(map): ApplyPartitionMap,
        _context: &mut Context<Self>,
    ) {
        let tables = &mut self.tables;
        tables.claims.apply(map);
        tables.members.set_partition_epoch(tables.claims.version());
    }
}

/// Asks for the version of the map that this node has.
pub struct MapVersion;

impl Handler<MapVersion> for NodeActor {
    type Return = u64;

    async fn handle(&mut self, _message: MapVersion, _context: &mut Context<Self>) -> u64 {
        self.tables.claims.version()
    }
}

/// Asks which members have a newer map than this node.
pub struct MapMembersAhead;

impl Handler<MapMembersAhead> for NodeActor {
    type Return = Vec<NodeId>;

    async fn handle(
        &mut self,
        _message: MapMembersAhead,
        _context: &mut Context<Self>,
    ) -> Vec<NodeId> {
        self.tables.claims.members_ahead()
    }
}

/// A member that has a newer map could not be asked, or its answer did not help.
pub struct ForgetMapAhead(pub NodeId);

impl Handler<ForgetMapAhead> for NodeActor {
    type Return = ();

    async fn handle(&mut self, ForgetMapAhead(node): ForgetMapAhead, _context: &mut Context<Self>) {
        self.tables.claims.forget_ahead(node);
    }
}

/// A partition that a node can vote on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Synchronised {
    /// The partition.
    pub partition: PartitionId,
    /// The epoch.
    pub epoch: u64,
}

/// What one node tells another about the partitions.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct MapRecords {
    /// The newest map that it has.
    pub map: PartitionMap,
    /// The partitions that it can vote on, when they were asked for.
    pub synchronised: Vec<Synchronised>,
}

/// Asks for the newest map that this node has.
pub struct GetMapRecords {
    /// Whether the partitions that this node can vote on are wanted too.
    pub reports_wanted: bool,
}

impl Handler<GetMapRecords> for NodeActor {
    type Return = MapRecords;

    async fn handle(
        &mut self,
        message: GetMapRecords,
        _context: &mut Context<Self>,
    ) -> Self::Return {
        let claims = &self.tables.claims;
        let reports = claims.table.sync_reports().map(|report| Synchronised {
            partition: report.partition,
            epoch: report.epoch,
        });
        MapRecords {
            map: claims.map().clone(),
            synchronised: reports.filter(|_| message.reports_wanted).collect(),
        }
    }
}

/// Asks what to copy from other replicas.
pub struct GetCopyRequests;

impl Handler<GetCopyRequests> for NodeActor {
    type Return = Vec<(NodeId, ClaimCopy)>;

    async fn handle(
        &mut self,
        _message: GetCopyRequests,
        _context: &mut Context<Self>,
    ) -> Self::Return {
        self.tables.claims.table.copy_requests()
    }
}

/// Asks for the map that should follow another one.
pub struct PlanMap {
    /// The map to start from.
    pub current: PartitionMap,
    /// What its joining replicas said.
    pub reports: BTreeSet<SyncReport>,
}

impl Handler<PlanMap> for NodeActor {
    type Return = PartitionMap;

    async fn handle(&mut self, message: PlanMap, _context: &mut Context<Self>) -> PartitionMap {
        let PlanMap { current, reports } = message;
        claims::next_map(&self.tables, &current, &reports, unix_ms())
    }
}

/// Asks whether this node is the one that plans the map, and how many nodes there are to plan with.
pub struct GetPlannerRole;

/// This node's part in planning.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannerRole {
    /// Whether this node plans.
    pub plans: bool,
    /// Nodes that can hold claims.
    pub live: usize,
}

impl Handler<GetPlannerRole> for NodeActor {
    type Return = PlannerRole;

    async fn handle(
        &mut self,
        _message: GetPlannerRole,
        _context: &mut Context<Self>,
    ) -> PlannerRole {
        claims::planner_role(&self.tables)
    }
}
