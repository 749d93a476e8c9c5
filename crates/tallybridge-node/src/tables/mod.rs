//! What a node knows: one file for each kind of row.

pub mod admission;
pub mod calls;
pub mod claims;
pub mod configuration;
pub mod decisions;
pub mod executions;
pub mod peers;

use std::time::Instant;

use rand::{SeedableRng, rngs::SmallRng};
use tallybridge_config::Settings;
use tallybridge_core::NodeId;
use tallybridge_limits::retry::{Budget, BudgetSettings};
use tallybridge_routing::{EndpointTable, Locality, RoutingSettings};

use self::{
    admission::Admission, calls::CallTable, claims::Claims, configuration::Configuration,
    decisions::DecisionLog, executions::ExecutionTable, peers::PeerTable,
};

/// All tables of one node.
pub struct Tables {
    /// This node.
    pub identity: NodeId,
    /// Calls that entered here and are not answered yet.
    pub calls: CallTable,
    /// Attempts that the back end beside this node runs.
    pub executions: ExecutionTable,
    /// Limit and queue in front of that back end.
    pub admission: Admission,
    /// Where calls can be sent.
    pub endpoints: EndpointTable,
    /// Share of retries among attempts, over all calls that entered here.
    pub retry_budget: Budget,
    /// Configuration in force.
    pub configuration: Configuration,
    /// Claims held for others, and where those of each key are.
    pub claims: Claims,
    /// Other nodes.
    pub peers: PeerTable,
    /// What was decided lately, and why.
    pub decisions: DecisionLog,
    /// Whether this node or its back end is leaving.
    pub leaving: bool,
    /// Source of random choices.
    pub rng: SmallRng,
}

impl Tables {
    /// Empty tables of a node that starts now.
    #[must_use]
    pub fn new(identity: NodeId, settings: &Settings, now: Instant) -> Self {
        let locality = Locality {
            region: settings.region.clone(),
            zone: settings.zone.clone(),
        };
        Self {
            identity,
            calls: CallTable::default(),
            executions: ExecutionTable::new(identity.instance),
            admission: Admission::new(settings.backend.as_ref(), now),
            endpoints: EndpointTable::new(locality, RoutingSettings::default()),
            retry_budget: Budget::new(BudgetSettings::default()),
            configuration: Configuration::default(),
            claims: Claims::new(identity),
            peers: PeerTable::default(),
            decisions: DecisionLog::default(),
            leaving: false,
            rng: SmallRng::seed_from_u64(identity.instance.0),
        }
    }
}
