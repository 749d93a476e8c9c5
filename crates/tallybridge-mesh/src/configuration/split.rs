//! Division of a route's requests among its services by their weights.
//!
//! Every entry divides its own requests, and an entry of a large fleet may see only one or two
//! requests of a route between two changes of the configuration. The sequence of selections
//! therefore begins at a random position at each entry and with each document: if all entries began
//! at the same position, the first requests of all of them would go to the same service. From its
//! start on, a sequence is deterministic, so that a single entry follows the weights closely.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

/// Inverse of the golden ratio. Steps of this fraction of a cycle cover the cycle most evenly.
const INVERSE_GOLDEN_RATIO: f64 = 0.618;

/// A service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Arc<str>,
    /// Share of the requests, relative to the weights of the route's other services.
    pub weight: u32,
}

/// Services of a route, and the position in the sequence by which they are selected.
#[derive(Debug)]
pub struct TrafficSplit {
    services: Vec<WeightedService>,
    total_weight: u64,
    /// Distance between the positions of consecutive selections. It is coprime to the total weight,
    /// so that a cycle visits each position once.
    step: u64,
    /// Number of the next selection.
    next_selection: AtomicU64,
}

impl TrafficSplit {
    /// Creates a split whose sequence begins at a random position.
    #[must_use]
    pub fn new(services: Vec<WeightedService>) -> Self {
        Self::starting_at(services, rand::random())
    }

    /// Creates a split whose sequence begins with the selection of this number.
    #[must_use]
    pub fn starting_at(services: Vec<WeightedService>, first_selection: u32) -> Self {
        let weights = services.iter().map(|candidate| candidate.weight);
        let total_weight = weights.map(u64::from).sum();
        Self {
            services,
            total_weight,
            step: coprime_step(total_weight),
            next_selection: AtomicU64::new(first_selection.into()),
        }
    }

    /// Returns the services in the order of the document.
    #[must_use]
    pub fn services(&self) -> &[WeightedService] {
        &self.services
    }

    /// Selects the service of the next request, or `None` if there are no services.
    pub fn next_service(&self) -> Option<&Arc<str>> {
        if self.services.len() <= 1 || self.total_weight == 0 {
            return self.services.first().map(|candidate| &candidate.service);
        }
        let selection = self.next_selection.fetch_add(1, Ordering::Relaxed);
        self.service_at((selection % self.total_weight) * self.step % self.total_weight)
    }

    /// Returns the service whose weight covers a position between 0 and the total weight.
    fn service_at(&self, mut position: u64) -> Option<&Arc<str>> {
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
