//! A route, which selects requests and defines their treatment and their services.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use xxhash_rust::xxh3::xxh3_64;

/// Inverse of the golden ratio. Steps of this fraction of a cycle cover the cycle most evenly.
const INVERSE_GOLDEN_RATIO: f64 = 0.618;

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
    pub services: Vec<WeightedService>,
    /// Number of requests for which a service was selected. It determines the next selection.
    pub selections: AtomicU64,
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

/// A service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Arc<str>,
    /// Share of the requests, relative to the weights of the route's other services.
    pub weight: u32,
}

impl Route {
    /// Returns a hash of the name, which identifies the route at all nodes.
    #[must_use]
    pub fn stable_id(&self) -> u16 {
        (xxh3_64(self.name.as_bytes()) >> (u64::BITS - u16::BITS)) as u16
    }

    /// Selects the service of the next request, or `None` if the route has no services.
    ///
    /// The selection is deterministic, so even a short sequence of requests follows the weights.
    pub fn next_service(&self) -> Option<&Arc<str>> {
        if let [single] = &self.services[..] {
            return Some(&single.service);
        }
        let total_weight: u64 = self
            .services
            .iter()
            .map(|candidate| u64::from(candidate.weight))
            .sum();
        if total_weight == 0 {
            return self.services.first().map(|candidate| &candidate.service);
        }
        // A step that is coprime to the total visits each position once per cycle.
        let step = coprime_step(total_weight);
        let index = self.selections.fetch_add(1, Ordering::Relaxed);
        let mut position = (index % total_weight) * step % total_weight;
        for candidate in &self.services {
            let weight = u64::from(candidate.weight);
            if position < weight {
                return Some(&candidate.service);
            }
            position -= weight;
        }
        None
    }
}

/// Returns a step that is coprime to `total_weight` and close to its golden section.
fn coprime_step(total_weight: u64) -> u64 {
    let preferred_step = (total_weight as f64 * INVERSE_GOLDEN_RATIO) as u64;
    (preferred_step.max(1)..total_weight.max(2))
        .find(|step| greatest_common_divisor(*step, total_weight) == 1)
        .unwrap_or(1)
}

fn greatest_common_divisor(a: u64, b: u64) -> u64 {
    if b == 0 {
        a
    } else {
        greatest_common_divisor(b, a % b)
    }
}
