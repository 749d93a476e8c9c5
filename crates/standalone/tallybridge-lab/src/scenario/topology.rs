//! The whole scenario and its services.

use serde::{Deserialize, Serialize};
use tallybridge_config::ConfigurationFile;
use tallybridge_core::{RegionName, ServiceName, TenantName, ZoneName};

use super::{Endpoint, Fault, Kind, Phase};

/// One experiment: what is deployed, what is asked of it and what breaks.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name, used in summaries and reports.
    pub name: String,
    /// What the scenario models, for people.
    pub description: String,
    /// Seed of arrivals, service times and faults.
    pub seed: u64,
    /// Region that all machines are in.
    pub region: RegionName,
    /// Zones; back ends are spread over them in turn.
    pub zones: Vec<ZoneName>,
    /// One-way latency between two zones, in milliseconds.
    pub zone_latency_ms: f64,
    /// One-way latency between a caller and its entry node, in milliseconds.
    pub client_latency_ms: f64,
    /// Tenants that callers belong to, in equal shares.
    pub tenants: Vec<TenantName>,
    /// Configuration file with the templates and tenants, beside the scenario file.
    pub configuration_file: String,
    /// Kind whose calls measure the added latency; it takes no slot and no time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub probe: Option<String>,
    /// Services.
    pub service: Vec<Service>,
    /// Kinds of root requests.
    pub kind: Vec<Kind>,
    /// Load phases, one after the other.
    pub phase: Vec<Phase>,
    /// Faults, at times counted from the start of the first phase.
    #[serde(default)]
    pub fault: Vec<Fault>,
    /// Templates and tenants, read from `configuration_file`.
    #[serde(skip)]
    pub configuration: ConfigurationFile,
}

/// A set of interchangeable back ends.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name in call paths.
    pub name: ServiceName,
    /// How many back ends.
    pub backends: usize,
    /// Calls that one back end runs at once.
    pub slots: usize,
    /// Calls that wait for a slot before the back end sheds.
    pub queue: usize,
    /// Connections that one back end accepts.
    pub connections: usize,
    /// What accepting a connection costs a back end, in milliseconds.
    pub connection_cost_ms: f64,
    /// How long a back end stays cold after its start, in milliseconds.
    #[serde(default)]
    pub cold_start_ms: u64,
    /// How many times slower a cold back end works.
    #[serde(default = "default_cold_factor")]
    pub cold_factor: f64,
    /// Age of what the health and load endpoints tell, in milliseconds.
    #[serde(default)]
    pub health_lag_ms: u64,
    /// What the back ends answer.
    pub endpoint: Vec<Endpoint>,
}

const fn default_cold_factor() -> f64 {
    1.0
}

impl Scenario {
    /// Length of all phases, in seconds.
    #[must_use]
    pub fn seconds(&self) -> f64 {
        self.phase.iter().map(|phase| phase.seconds).sum()
    }

    /// The service of a name.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.service.iter().find(|service| service.name == *name)
    }

    /// The kind of a name.
    #[must_use]
    pub fn kind(&self, name: &str) -> Option<&Kind> {
        self.kind.iter().find(|kind| kind.name == name)
    }

    /// Back ends of all services, which is also the number of nodes.
    #[must_use]
    pub fn backend_count(&self) -> usize {
        self.service.iter().map(|service| service.backends).sum()
    }
}

impl Service {
    /// The endpoint of a path.
    #[must_use]
    pub fn endpoint(&self, path: &str) -> Option<&Endpoint> {
        self.endpoint.iter().find(|endpoint| endpoint.path == path)
    }
}
