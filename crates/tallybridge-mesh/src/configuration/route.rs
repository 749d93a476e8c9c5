//! A route, which selects requests and defines their treatment and their services.

use std::{sync::Arc, time::Duration};

use xxhash_rust::xxh3::xxh3_64;

use super::TrafficSplit;

/// Treatment of the requests of one host and path prefix.
#[derive(Debug)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host name of its requests, in lower case and without a port.
    pub host: String,
    /// Prefix of the request paths.
    pub path_prefix: String,
    /// Whether its requests may run more than once, and whether their answers are large.
    pub kind: RouteKind,
    /// Maximum duration of a request.
    pub timeout: Duration,
    /// Latency that answers should not exceed.
    pub target_latency: Duration,
    /// Priority of its requests; 0 is the most important.
    pub priority: u8,
    /// Maximum number of back ends to which a request may be sent.
    pub max_attempts: u32,
    /// Whether its requests are admitted without a key.
    pub is_public: bool,
    /// Services that share its requests.
    pub split: TrafficSplit,
}

/// Whether a request may run more than once, and whether its answer is large.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests run at most once for each attempt of the caller.
    NonIdempotent,
    /// Requests may run more than once and have large answers.
    Download,
}

impl RouteKind {
    /// Returns whether a request may run more than once.
    #[must_use]
    pub const fn is_idempotent(self) -> bool {
        !matches!(self, Self::NonIdempotent)
    }
}

impl Route {
    /// Returns a hash of the name, which identifies the route at all nodes.
    #[must_use]
    pub fn stable_id(&self) -> u16 {
        (xxh3_64(self.name.as_bytes()) >> (u64::BITS - u16::BITS)) as u16
    }
}
