//! Which nodes hold the claims of each partition.

use serde::{Deserialize, Serialize};
use tallybridge_core::NodeId;

use crate::partition::{PARTITIONS, PartitionId, REPLICAS};

/// A node that holds claims of a partition.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// The node.
    pub node: NodeId,
    /// Epoch in which it joined; it has been a replica ever since.
    pub since_epoch: u64,
}

/// How the replicas of an epoch come to know the claims of the epochs before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Origin {
    /// There was no epoch before.
    First,
    /// Those that join copy from the previous replicas.
    Copy,
    /// Too many previous replicas have ended. Those that join copy from every one that has not,
    /// and keys dated before [`reset_unix_ms`](PartitionEntry::reset_unix_ms) are not voted on.
    Reset,
}

/// The replicas of one partition.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionEntry {
    /// Counts the changes of `replicas`, from 1.
    pub epoch: u64,
    /// How this epoch came about.
    pub origin: Origin,
    /// The replicas.
    pub replicas: Vec<Replica>,
    /// The replicas of the epoch before; after a reset only those that have not ended.
    pub previous: Vec<Replica>,
    /// Replicas that are not yet known to have copied the claims.
    pub joining: Vec<NodeId>,
    /// Keys dated before it are not voted on, milliseconds since the Unix epoch; 0 when nothing
    /// was ever lost.
    pub reset_unix_ms: u64,
}

impl PartitionEntry {
    /// The replicas' nodes.
    pub fn nodes(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.replicas.iter().map(|replica| replica.node)
    }

    /// Number of the entry among those of its partition.
    fn version(&self) -> u64 {
        let steps_per_epoch = REPLICAS as u64 + 1;
        let joined = REPLICAS.saturating_sub(self.joining.len()) as u64;
        self.epoch
            .saturating_mul(steps_per_epoch)
            .saturating_add(joined)
    }

    /// A node as replica, if it is one.
    #[must_use]
    pub fn replica(&self, node: NodeId) -> Option<&Replica> {
        self.replicas.iter().find(|replica| replica.node == node)
    }

    /// A node as replica of the epoch before, if it was one.
    #[must_use]
    pub fn previous_replica(&self, node: NodeId) -> Option<&Replica> {
        self.previous.iter().find(|replica| replica.node == node)
    }
}

/// The replicas of every partition. Lives in the store and changes by compare-and-swap alone.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PartitionMap {
    entries: Vec<PartitionEntry>,
}

impl PartitionMap {
    /// A map of entries in order of their partitions.
    ///
    /// # Panics
    ///
    /// When it is neither empty nor whole.
    #[must_use]
    pub fn new(entries: Vec<PartitionEntry>) -> Self {
        assert!(
            entries.is_empty() || entries.len() == PARTITIONS,
            "a partition map is empty or whole"
        );
        Self { entries }
    }

    /// The entry of a partition, or `None` before the first plan.
    #[must_use]
    pub fn entry(&self, partition: PartitionId) -> Option<&PartitionEntry> {
        self.entries.get(partition.index())
    }

    /// Number of the map among those that follow each other, 0 before the first plan. Maps follow
    /// each other by compare-and-swap, so of two the one with the greater number is the later one.
    ///
    /// It grows with every plan: a new epoch of a partition counts for more than the replicas that
    /// may join in it, and within an epoch a replica can only cease to be joining.
    #[must_use]
    pub fn version(&self) -> u64 {
        let versions = self.entries.iter().map(PartitionEntry::version);
        versions.fold(0, u64::saturating_add)
    }

    /// Every partition with its entry.
    pub fn iter(&self) -> impl Iterator<Item = (PartitionId, &PartitionEntry)> {
        PartitionId::all().zip(&self.entries)
    }
}
