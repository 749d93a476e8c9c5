//! The claims that this node holds for others, and where the claims of each key are held.

use tallybridge_claims::{ClaimTable, PartitionEntry, PartitionId, PartitionMap};
use tallybridge_core::NodeId;

/// Most keys that this node remembers as a replica.
const KEY_CAPACITY: usize = 1 << 20;

/// Claims as one node knows them.
#[derive(Debug)]
pub struct Claims {
    /// The claims that this node holds as replica of some partitions.
    pub table: ClaimTable,
    map: PartitionMap,
}

impl Claims {
    /// No claims and no map.
    #[must_use]
    pub fn new(identity: NodeId) -> Self {
        Self {
            table: ClaimTable::new(identity, KEY_CAPACITY),
            map: PartitionMap::default(),
        }
    }

    /// The newest map that this node has; empty before the first.
    #[must_use]
    pub const fn map(&self) -> &PartitionMap {
        &self.map
    }

    /// The replicas of a partition, or `None` when this node has no map.
    #[must_use]
    pub fn entry(&self, partition: PartitionId) -> Option<&PartitionEntry> {
        self.map.entry(partition)
    }

    /// Takes over a map unless the one that this node has is newer.
    pub fn apply(&mut self, map: PartitionMap) {
        if age(&map) >= age(&self.map) {
            self.table.apply(&map);
            self.map = map;
        }
    }
}

/// Changes that made a map. Maps follow each other by compare-and-swap, so of two the one with
/// more changes is the later one.
fn age(map: &PartitionMap) -> u64 {
    map.iter().map(|(_, entry)| entry.epoch).sum()
}
