//! What a back end does for one path.

use rand::Rng;
use rand_distr::{Distribution, LogNormal};
use serde::{Deserialize, Serialize};
use tallybridge_core::ServiceName;

/// One path of a service.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// First path segment, without slashes.
    pub path: String,
    /// HTTP method.
    #[serde(default = "default_method")]
    pub method: String,
    /// Own work, without nested calls.
    pub service_time: ServiceTime,
    /// Size of a whole answer, in bytes.
    pub answer_bytes: usize,
    /// Nested calls, made one after the other once the own work is done.
    #[serde(default)]
    pub calls: Vec<NestedCall>,
    /// Whether a call holds one of the back end's slots.
    #[serde(default = "default_takes_slot")]
    pub takes_slot: bool,
}

/// A call that a back end makes on behalf of a call it runs.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NestedCall {
    /// Service called.
    pub service: ServiceName,
    /// Path called.
    pub path: String,
    /// How often the back end itself tries again after a failure.
    #[serde(default)]
    pub retries: u32,
}

/// Distribution of service times: log-normal, by mean and shape.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceTime {
    /// Mean, in milliseconds.
    pub mean_ms: f64,
    /// Standard deviation of the logarithm; 0 for a constant.
    #[serde(default)]
    pub sigma: f64,
}

impl ServiceTime {
    /// Draws a service time, in milliseconds.
    pub fn sample_ms(&self, random: &mut impl Rng) -> f64 {
        if self.mean_ms <= 0.0 {
            return 0.0;
        }
        // The mean of a log-normal is exp(mu + sigma^2 / 2).
        let location = self.mean_ms.ln() - self.sigma * self.sigma / 2.0;
        LogNormal::new(location, self.sigma)
            .map_or(self.mean_ms, |distribution| distribution.sample(random))
    }
}

fn default_method() -> String {
    "GET".to_owned()
}

const fn default_takes_slot() -> bool {
    true
}
