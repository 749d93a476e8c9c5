//! The partition map: the nodes that hold the claims of each partition.
//!
//! The map is kept in the store and changes only by compare-and-swap.

use serde::{Deserialize, Serialize};
use tallybridge_core::NodeId;

use crate::partition::{PARTITIONS, PartitionId, REPLICAS};

/// A node that stores claims of a partition.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// Instance of the node; a restarted node has a different instance.
    pub node: NodeId,
    /// Epoch in which the node joined. The node has been a replica in every epoch since.
    pub since_epoch: u64,
}

/// The way in which the replicas of an epoch obtain the claims of earlier epochs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Origin {
    /// The epoch is the first one and has nothing to copy.
    First,
    /// Joining replicas copy from a read quorum of the previous replicas.
    Copy,
    /// Too many previous replicas have terminated. Joining replicas copy from every survivor, and
    /// keys issued before [`reset_unix_ms`](PartitionEntry::reset_unix_ms) get no votes.
    Reset,
}

/// The replicas of one partition in its current epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionEntry {
    /// Number of the replica set, from 1; each change of `replicas` increments it.
    pub epoch: u64,
    /// The source of the claims of joining replicas.
    pub origin: Origin,
    /// Replicas that can vote in this epoch once they are synchronised.
    pub replicas: Vec<Replica>,
    /// Replicas of the previous epoch; after a reset, only those that had not terminated.
    pub previous: Vec<Replica>,
    /// Replicas that have not yet reported a complete copy of the claims.
    pub joining: Vec<NodeId>,
    /// Replicas do not vote on keys issued before this time, in milliseconds since the Unix epoch;
    /// 0 if the partition was never reset.
    pub reset_unix_ms: u64,
}

impl PartitionEntry {
    /// Iterates over the nodes of the current replicas.
    pub fn nodes(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.replicas.iter().map(|replica| replica.node)
    }

    /// Returns a number that grows with each new epoch and with each replica that finishes joining.
    fn version(&self) -> u64 {
        let versions_per_epoch = REPLICAS as u64 + 1;
        let synchronised = REPLICAS.saturating_sub(self.joining.len()) as u64;
        self.epoch
            .saturating_mul(versions_per_epoch)
            .saturating_add(synchronised)
    }

    /// Returns the current replica on a node, or `None` if the node is not a replica.
    #[must_use]
    pub fn replica(&self, node: NodeId) -> Option<&Replica> {
        self.replicas.iter().find(|replica| replica.node == node)
    }

    /// Returns the replica on a node in [`previous`](Self::previous), or `None` if there is none.
    #[must_use]
    pub fn previous_replica(&self, node: NodeId) -> Option<&Replica> {
        self.previous.iter().find(|replica| replica.node == node)
    }
}

/// The replicas of every partition. The default map is empty until the first plan.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PartitionMap {
    entries: Vec<PartitionEntry>,
}

impl PartitionMap {
    /// Creates a map from entries in partition order.
    ///
    /// # Panics
    ///
    /// Panics unless there are no entries or one for each partition.
    #[must_use]
    pub fn new(entries: Vec<PartitionEntry>) -> Self {
        assert!(
            entries.is_empty() || entries.len() == PARTITIONS,
            "a partition map must be empty or have an entry for each partition"
        );
        Self { entries }
    }

    /// Returns the entry of a partition, or `None` before the first plan.
    #[must_use]
    pub fn entry(&self, partition: PartitionId) -> Option<&PartitionEntry> {
        self.entries.get(partition.index())
    }

    /// Returns the version of the map, or 0 before the first plan. Of two maps in the store's
    /// history, the later one has the greater version.
    ///
    /// Every changed plan increases the version: within an epoch, replicas only finish joining, and
    /// a new epoch adds more than all replicas that can finish joining in one epoch.
    #[must_use]
    pub fn version(&self) -> u64 {
        let versions = self.entries.iter().map(PartitionEntry::version);
        versions.fold(0, u64::saturating_add)
    }

    /// Iterates over the partitions in order; yields nothing before the first plan.
    pub fn iter(&self) -> impl Iterator<Item = (PartitionId, &PartitionEntry)> {
        PartitionId::all().zip(&self.entries)
    }
}
