//! Types of requests and responses of the store.

use serde::Deserialize;

/// A key of the store with its value.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Entry {
    /// Full key, including the prefix of the list.
    pub key: String,
    /// Text stored under the key.
    pub value: String,
    /// Version of the store at which the value was written.
    pub version: u64,
}

/// One page of a listing.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Page {
    /// Entries in key order.
    pub entries: Vec<Entry>,
    /// Version of the store at which the entries were read.
    pub version: u64,
}

/// The last change of a key, as returned by a watch.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Change {
    /// Full key, including the prefix of the watch.
    pub key: String,
    /// New value, or `None` when the key was removed.
    #[serde(default)]
    pub value: Option<String>,
    /// Version of the store at which the key changed.
    pub version: u64,
}

/// Response to a watch.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Changes {
    /// Changed keys in key order, empty when the wait ended without a change.
    pub entries: Vec<Change>,
    /// Version of the store, from which the next watch continues.
    pub version: u64,
}

/// Condition on the key under which the store applies a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Expectation {
    /// The write is unconditional.
    #[default]
    Any,
    /// The key must be absent.
    Absent,
    /// The key must be present with this version.
    Version(u64),
}

impl Expectation {
    /// Returns the value of the `expect` query parameter.
    pub(super) const fn expect_parameter(self) -> Option<u64> {
        match self {
            Self::Any => None,
            Self::Absent => Some(0),
            Self::Version(version) => Some(version),
        }
    }
}

/// Identifier of a lease, assigned by the store.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

/// Condition and lease of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PutOptions {
    /// Condition under which the store applies the write.
    pub expectation: Expectation,
    /// Lease to attach to the key. The store removes the key when the lease ends.
    pub lease: Option<LeaseId>,
}

impl PutOptions {
    /// Creates options of a conditional write without a lease.
    #[must_use]
    pub const fn expecting(expectation: Expectation) -> Self {
        Self {
            expectation,
            lease: None,
        }
    }
}

impl From<Expectation> for PutOptions {
    fn from(expectation: Expectation) -> Self {
        Self::expecting(expectation)
    }
}
