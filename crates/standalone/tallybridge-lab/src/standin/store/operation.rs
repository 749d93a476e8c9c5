//! What a request asks of the store.

use serde::Deserialize;

/// Number of a lease.
pub type LeaseNumber = u64;

/// One request to the store, read out of its HTTP form.
#[derive(Debug, Clone)]
pub enum Operation {
    /// `GET /v1/kv/{key}`.
    Get { key: String },
    /// `GET /v1/list`.
    List(ListQuery),
    /// `PUT /v1/kv/{key}`.
    Put {
        key: String,
        query: PutQuery,
        value: String,
    },
    /// `DELETE /v1/kv/{key}`.
    Delete { key: String, query: DeleteQuery },
    /// `GET /v1/watch`.
    Watch(WatchQuery),
    /// `POST /v1/lease`.
    Grant(GrantQuery),
    /// `POST /v1/lease/{id}/renew`.
    Renew { lease: LeaseNumber },
    /// `DELETE /v1/lease/{id}`.
    Revoke { lease: LeaseNumber },
}

impl Operation {
    /// Whether the request changes what the store holds.
    pub const fn is_write(&self) -> bool {
        !matches!(self, Self::Get { .. } | Self::List(_) | Self::Watch(_))
    }

    /// The key that the request names; empty when it names none.
    pub fn key(&self) -> &str {
        match self {
            Self::Get { key } | Self::Put { key, .. } | Self::Delete { key, .. } => key,
            _ => "",
        }
    }

    /// The key that the request names, or the prefix that it watches; empty when it has neither.
    pub fn subject(&self) -> &str {
        match self {
            Self::Watch(query) => &query.prefix,
            other => other.key(),
        }
    }
}

/// Parameters of a list.
#[derive(Debug, Clone, Deserialize)]
pub struct ListQuery {
    /// Keys that start with this.
    #[serde(default)]
    pub prefix: String,
    /// Keys above this one.
    #[serde(default)]
    pub after: String,
    /// Most entries in the answer.
    #[serde(default = "default_list_limit")]
    pub limit: usize,
}

/// Parameters of a write.
#[derive(Debug, Clone, Deserialize)]
pub struct PutQuery {
    /// Version that the key must have, 0 for none; absent: any.
    pub expect: Option<u64>,
    /// Lease that the key ends with.
    pub lease: Option<LeaseNumber>,
}

/// Parameters of a removal.
#[derive(Debug, Clone, Deserialize)]
pub struct DeleteQuery {
    /// Version that the key must have; absent: any.
    pub expect: Option<u64>,
}

/// Parameters of a watch.
#[derive(Debug, Clone, Deserialize)]
pub struct WatchQuery {
    /// Keys that start with this.
    #[serde(default)]
    pub prefix: String,
    /// Changes above this version.
    #[serde(default)]
    pub after: u64,
    /// Longest wait for a change, in milliseconds.
    #[serde(default)]
    pub wait_ms: u64,
}

/// Parameters of a new lease.
#[derive(Debug, Clone, Deserialize)]
pub struct GrantQuery {
    /// Time the lease lives without renewal, in milliseconds.
    pub ttl_ms: u64,
}

/// Entries in a list's answer when the request does not say.
const DEFAULT_LIST_LIMIT: usize = 100;

const fn default_list_limit() -> usize {
    DEFAULT_LIST_LIMIT
}
