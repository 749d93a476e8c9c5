//! A route: which requests it takes, how they are treated, and the services that share them.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use xxhash_rust::xxh3::xxh3_64;

/// Steps of this part of a round spread points most evenly over it (1 over the golden ratio).
const GOLDEN_SECTION: f64 = 0.618;

/// How requests of one host and path prefix are treated.
#[derive(Debug)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// Host of its requests, in lower case and without a port.
    pub host: String,
    /// What its paths begin with.
    pub path_prefix: String,
    /// How often they may run.
    pub kind: RouteKind,
    /// The longest time for which a request may be held.
    pub timeout: Duration,
    /// The time within which answers are wanted.
    pub target_latency: Duration,
    /// Its rank; 0 is the most important.
    pub priority: u8,
    /// Most back ends that a request may be sent to.
    pub max_attempts: u32,
    /// Whether its requests need no key.
    pub is_public: bool,
    /// The services that share its requests.
    pub parts: Vec<RoutePart>,
    /// Requests for which a service was chosen so far, by which the parts are spread evenly.
    pub taken: AtomicU64,
}

/// How often a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// More than once.
    Idempotent,
    /// At most once for each attempt of its caller.
    NonIdempotent,
    /// More than once, with a large answer.
    Download,
}

impl RouteKind {
    /// Whether a request may run more than once.
    #[must_use]
    pub const fn is_idempotent(self) -> bool {
        !matches!(self, Self::NonIdempotent)
    }
}

/// A service that gets a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoutePart {
    /// The service.
    pub service: Arc<str>,
    /// Its share, relative to the other parts.
    pub weight: u32,
}

impl Route {
    /// A number for this route that is the same at all nodes, from its name.
    #[must_use]
    pub fn number(&self) -> u16 {
        (xxh3_64(self.name.as_bytes()) >> (u64::BITS - u16::BITS)) as u16
    }

    /// The service of the next request. The parts are spread by their weights over each run of
    /// requests, not by chance, so that few requests already show the weights.
    pub fn next_service(&self) -> Option<&Arc<str>> {
        if let [part] = &self.parts[..] {
            return Some(&part.service);
        }
        let total: u64 = self.parts.iter().map(|part| u64::from(part.weight)).sum();
        if total == 0 {
            return self.parts.first().map(|part| &part.service);
        }
        // A step that shares no factor with the total visits each residue once in a round.
        let step = coprime_step(total);
        let taken = self.taken.fetch_add(1, Ordering::Relaxed);
        let mut point = (taken % total) * step % total;
        for part in &self.parts {
            let weight = u64::from(part.weight);
            if point < weight {
                return Some(&part.service);
            }
            point -= weight;
        }
        None
    }
}

/// A step near the golden section of `total` that shares no factor with it.
fn coprime_step(total: u64) -> u64 {
    let golden = (total as f64 * GOLDEN_SECTION) as u64;
    (golden.max(1)..total.max(2))
        .find(|step| greatest_common_divisor(*step, total) == 1)
        .unwrap_or(1)
}

fn greatest_common_divisor(left: u64, right: u64) -> u64 {
    if right == 0 {
        left
    } else {
        greatest_common_divisor(right, left % right)
    }
}
