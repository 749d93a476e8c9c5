//! The claims that this node holds for others, and where the claims of each key are held.

use std::collections::BTreeMap;

use tallybridge_claims::{ClaimTable, PartitionEntry, PartitionId, PartitionMap};
use tallybridge_core::NodeId;

/// Most keys that this node remembers as a replica: 19 MB at the 148 bytes measured for a key without
/// its answer, 54 MB at the 410 bytes for one with an answer of 256 bytes.
const KEY_CAPACITY: usize = 1 << 17;
/// Members that are remembered as ahead of this node.
const MOST_AHEAD: usize = 16;

/// Claims as one node knows them.
#[derive(Debug)]
pub struct Claims {
    /// The claims that this node holds as replica of some partitions.
    pub table: ClaimTable,
    map: PartitionMap,
    version: u64,
    /// Members that have a newer map, with its version.
    ahead: BTreeMap<NodeId, u64>,
}

impl Claims {
    /// No claims and no map.
    #[must_use]
    pub fn new(identity: NodeId) -> Self {
        Self {
            table: ClaimTable::new(identity, KEY_CAPACITY),
            map: PartitionMap::default(),
            version: 0,
            ahead: BTreeMap::new(),
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

    /// Takes over a map if it is newer than the one that this node has.
    pub fn apply(&mut self, map: PartitionMap) {
        let version = map.version();
        if version > self.version {
            self.table.apply(&map);
            self.map = map;
            self.version = version;
            self.ahead.retain(|_, ahead| *ahead > version);
        }
    }

    /// The version of the map that this node has; 0 before the first.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Takes in the version of a member's map; `true` when it is ahead of this node.
    pub fn hear_peer(&mut self, node: NodeId, version: u64) -> bool {
        if version <= self.version {
            return false;
        }
        if self.ahead.len() < MOST_AHEAD || self.ahead.contains_key(&node) {
            self.ahead.insert(node, version);
        }
        true
    }

    /// The members whose map is newer than this node's, as far as they are remembered.
    #[must_use]
    pub fn members_ahead(&self) -> Vec<NodeId> {
        self.ahead.keys().copied().collect()
    }

    /// Forgets that a member is ahead: it could not be asked. It is heard of again if it lives.
    pub fn forget_ahead(&mut self, node: NodeId) {
        self.ahead.remove(&node);
    }
}
