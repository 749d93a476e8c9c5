//! What a node knows: one file for each kind of row.

pub mod admission;
pub mod calls;
pub mod claims;
pub mod configuration;
pub mod decisions;
pub mod executions;
pub mod service_time;

use std::time::Instant;

use rand::{SeedableRng, rngs::SmallRng};
use tallybridge_config::Settings;
use tallybridge_core::{NodeId, ServiceName, TemplateName};
use tallybridge_limits::{Budget, BudgetSettings};
use tallybridge_membership::{MemberIdentity, MemberTable, MembershipSettings, Placement};
use tallybridge_overload::EarlyRefusal;
use tallybridge_routing::{EndpointTable, Locality, RoutingSettings};

use self::{
    admission::Admission, calls::CallTable, claims::Claims, configuration::Configuration,
    decisions::DecisionLog, executions::ExecutionTable,
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
    /// Levels that came back on answers, by which calls are refused before they are sent.
    pub early_refusal: EarlyRefusal<TemplateName, NodeId>,
    /// Share of retries among attempts, over all calls that entered here.
    pub retry_budget: Budget,
    /// Configuration in force.
    pub configuration: Configuration,
    /// Claims held for others, and where those of each key are.
    pub claims: Claims,
    /// The fleet as this node sees it.
    pub members: MemberTable,
    /// What was decided lately, and why.
    pub decisions: DecisionLog,
    /// Whether the back end beside this node takes no new work.
    pub leaving: bool,
    /// Whether this node takes no new calls from outside: it is about to end.
    pub stopping: bool,
    /// Whether this node holds a duty to watch the store.
    pub watches_store: bool,
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
            early_refusal: EarlyRefusal::new(),
            retry_budget: Budget::new(BudgetSettings::default()),
            configuration: Configuration::default(),
            claims: Claims::new(identity),
            members: MemberTable::new(
                member_identity(identity, settings),
                MembershipSettings::default(),
                now,
            ),
            decisions: DecisionLog::default(),
            leaving: false,
            stopping: false,
            watches_store: false,
            rng: SmallRng::seed_from_u64(identity.instance.0),
        }
    }
}

/// What the node says about itself to the fleet.
fn member_identity(node: NodeId, settings: &Settings) -> MemberIdentity {
    let service = settings
        .backend
        .as_ref()
        .map_or_else(|| ServiceName::from(""), |backend| backend.service.clone());
    MemberIdentity {
        node,
        placement: Placement {
            service,
            region: settings.region.clone(),
            zone: settings.zone.clone(),
            rack: settings.rack.as_str().into(),
        },
    }
}
