//! Partitions of the key space and the sizes of quorums.

use serde::{Deserialize, Serialize};
use tallybridge_core::RequestKey;
use xxhash_rust::xxh3::xxh3_64;

/// Number of partitions. At 920 nodes each holds a replica of about one; with fewer nodes each
/// holds more.
pub const PARTITIONS: usize = 256;

/// Replicas of a partition when there are enough nodes.
pub const REPLICAS: usize = 3;

/// One partition of the key space.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartitionId(pub u8);

impl PartitionId {
    /// The partition of a key. Hashed, since callers' keys need not be evenly spread.
    #[must_use]
    pub fn of(key: &RequestKey) -> Self {
        let hash = xxh3_64(&key.digest.to_be_bytes());
        Self(hash.to_be_bytes()[0])
    }

    /// Every partition.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..=u8::MAX).map(Self)
    }

    /// Position in a list of all partitions.
    #[must_use]
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// How many of `replicas` must grant a run.
#[must_use]
pub const fn majority(replicas: usize) -> usize {
    replicas / 2 + 1
}

/// How many of `replicas` share a member with every majority. When this many have left an epoch, no
/// majority is left in it.
#[must_use]
pub const fn read_quorum(replicas: usize) -> usize {
    replicas + 1 - majority(replicas)
}
