//! What requests and answers carry.

use serde::Deserialize;

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value.
    pub value: String,
    /// Version at which the key got this value.
    pub version: u64,
}

/// One page of a list.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Page {
    /// The entries, in key order.
    pub entries: Vec<Entry>,
    /// The store's counter when they were read.
    pub version: u64,
}

/// The last change of a key, as a watch gives it.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Change {
    /// The key.
    pub key: String,
    /// The value, or `None` when the key was removed.
    #[serde(default)]
    pub value: Option<String>,
    /// Version at which the key changed.
    pub version: u64,
}

/// Answer of a watch.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Changes {
    /// The changed keys, in key order; empty when the wait was over first.
    pub entries: Vec<Change>,
    /// The store's counter, from which the next watch goes on.
    pub version: u64,
}

/// What a key must be like for a write to be done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Expectation {
    /// Anything.
    #[default]
    Any,
    /// Absent.
    Absent,
    /// Present with this version.
    Version(u64),
}

impl Expectation {
    /// The value of the `expect` parameter.
    pub(super) const fn parameter(self) -> Option<u64> {
        match self {
            Self::Any => None,
            Self::Absent => Some(0),
            Self::Version(version) => Some(version),
        }
    }
}

/// A lease of the store.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

/// Conditions of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PutOptions {
    /// What the key must be like.
    pub expectation: Expectation,
    /// Lease that the key ends with.
    pub lease: Option<LeaseId>,
}

impl PutOptions {
    /// A write that is done only in this case.
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
