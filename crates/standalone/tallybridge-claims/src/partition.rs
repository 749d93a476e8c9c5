//! Partitions of the key space, and quorum sizes.

use serde::{Deserialize, Serialize};
use tallybridge_core::RequestKey;
use xxhash_rust::xxh3::xxh3_64;

/// Number of partitions; one for each value of the byte in [`PartitionId`].
pub const PARTITIONS: usize = 256;

/// Number of replicas of a partition if there are enough nodes.
pub const REPLICAS: usize = 3;

/// Identifies a partition by its position in the partition map.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartitionId(pub u8);

impl PartitionId {
    /// Returns the partition of a key. The digest is hashed because the digests of callers' keys
    /// may be unevenly distributed.
    #[must_use]
    pub fn of(key: &RequestKey) -> Self {
        let hash = xxh3_64(&key.digest.to_be_bytes());
        Self(hash.to_be_bytes()[0])
    }

    /// Iterates over all partitions in ascending order.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..=u8::MAX).map(Self)
    }

    /// Returns the position of the partition in the order of [`all`](Self::all).
    #[must_use]
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// Returns the number of replicas, out of `replicas`, that must grant a run.
#[must_use]
pub const fn majority(replicas: usize) -> usize {
    replicas / 2 + 1
}

/// Returns the smallest number of replicas, out of `replicas`, that overlaps every majority.
///
/// After this many replicas have left an epoch, no majority remains in the epoch.
#[must_use]
pub const fn read_quorum(replicas: usize) -> usize {
    replicas + 1 - majority(replicas)
}
