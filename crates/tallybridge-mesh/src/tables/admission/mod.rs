//! Admission: which fresh requests an entry refuses, so that calls deeper in their chains are not.
//!
//! **Rule.** Of a route's fresh requests an entry admits the share *level x weight* of the service
//! that allows the least of them, among all services that requests of the route need; the admitted
//! ones are spread evenly over those that arrive. Each service has one level, which follows the work
//! that it is offered (`level.rs`); each route has a weight at each service, by its tenant's rank, its
//! priority and what its requests cost that service (`weights.rs`).
//!
//! **Inputs.**
//! - Load of each service ([`ServiceLoads`]): slots, calls, and the work offered as a share of what
//!   the slots in use can do. The entry's own back end is read at each tick; that of a peer is as old
//!   as the last frame on its link, which is the last answer or ping ([`crate::link`]).
//! - What a request of a route costs each service (`costs.rs`): seconds for which it holds slots, a
//!   mean over the answers that this entry received.
//! - Priority of the route and rank of the tenant, as configured when the request arrives.
//! - [`PolicySettings`]: `shed_at_entry`, `shed_by_cost`, `order_by_priority`.
//!
//! **Output.** [`AdmissionControl::admits`]: one decision for each fresh request. Nested calls and
//! retries are never asked about. Shares change once each tick of 100 ms.
//!
//! **Why.** A call that is refused deep in a chain wastes all the work above it. One level for each
//! service keeps the proportion of the weights at any fraction of the service that is left.
//! With thresholds by priority, urgent requests take all of a service that has lost most of its back
//! ends. Following the fullness of a service trails what was admitted by up to a second, so shares
//! swing (`docs/DESIGN.md`, "Ways weighed"; `docs/DECISIONS.md`).
//!
//! **Constants** stand with the part that uses them: `level.rs`, `weights.rs`, `costs.rs` and `route.rs`.

mod costs;
mod level;
mod route;
mod services;
mod weights;

use std::{collections::HashMap, sync::Arc};

pub use self::services::ServiceLoads;
use self::{
    level::AdmissionLevel,
    route::{Conditions, RouteAdmission},
    weights::CheapestCosts,
};
use crate::{
    configuration::{Route, tenants::TenantRank},
    policy::PolicySettings,
    protocol::SlotTimes,
};

/// Priority of all routes while `order_by_priority` is off: that of the least urgent ones.
const EQUAL_PRIORITY: u8 = 2;

/// What a request of a route costs a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RouteCost<'a> {
    /// The route.
    pub route: &'a Arc<str>,
    /// The service.
    pub service: &'a Arc<str>,
    /// Time for which a request holds slots of the service, in seconds.
    pub seconds: f64,
}

/// Admission of fresh requests at one entry. Nothing of it outlives the process.
#[derive(Debug, Default)]
pub struct AdmissionControl {
    /// By name of the route and [`TenantRank::lower_priorities`], so that tenants of one rank share a row.
    routes: HashMap<(Arc<str>, u8), RouteAdmission>,
    levels: HashMap<Arc<str>, AdmissionLevel>,
    policy: PolicySettings,
}

impl AdmissionControl {
    /// Admission under a policy, which admits everything until it has seen load.
    #[must_use]
    pub fn new(policy: PolicySettings) -> Self {
        Self {
            policy,
            ..Self::default()
        }
    }

    /// Whether a fresh request of a route, which goes to `service` first, is admitted.
    pub fn admits(&mut self, route: &Route, service: &Arc<str>, rank: TenantRank) -> bool {
        let priority = if self.policy.order_by_priority {
            route.priority
        } else {
            EQUAL_PRIORITY
        };
        let row = self
            .routes
            .entry((route.name.clone(), rank.lower_priorities))
            .or_insert_with(|| RouteAdmission::new(service, priority, rank.lower_priorities));
        row.requested(service, priority);
        !self.policy.shed_at_entry || row.admits_next()
    }

    /// A back end answered a request of a route, well or with a failure of its own, after the request
    /// held slots for these times.
    pub fn answered(&mut self, route: &Route, rank: TenantRank, well: bool, times: &SlotTimes) {
        if !self.policy.shed_by_cost {
            return;
        }
        let key = (route.name.clone(), rank.lower_priorities);
        let Some(row) = self.routes.get_mut(&key) else {
            return;
        };
        if row.costs.answered(well, times) {
            let needs: Vec<_> = row.costs.known().into_iter().flatten().collect();
            tracing::info!(route = %route.name, ?needs, "services that a route needs are known");
        }
    }

    /// An admitted request of a route ended without an answer of a back end.
    pub fn unanswered(&mut self, route: &Route, rank: TenantRank) {
        let key = (route.name.clone(), rank.lower_priorities);
        if let Some(row) = self.routes.get_mut(&key) {
            row.costs.unanswered();
        }
    }

    /// What a request of each route costs each service that it is known to need.
    pub fn route_costs(&self) -> impl Iterator<Item = RouteCost<'_>> {
        self.routes.iter().flat_map(|((route, _), row)| {
            let costs = row.costs.known().into_iter().flatten();
            costs.map(move |(service, seconds)| RouteCost {
                route,
                service,
                seconds,
            })
        })
    }

    /// Routes of which not every fresh request is admitted, with the share that is, 0 to 1.
    pub fn shed_routes(&self) -> impl Iterator<Item = (&Arc<str>, f64)> {
        let rows = self.routes.iter();
        let shed = rows.filter(|(_, row)| row.admitted_share() < 1.0);
        shed.map(|((route, _), row)| (route, row.admitted_share()))
    }

    /// Adapts levels and shares to the load of the services; called once each tick.
    pub fn adapt(&mut self, loads: &ServiceLoads) {
        self.adapt_levels(loads);
        self.routes.retain(|_, row| row.tick());
        let conditions = Conditions {
            loads,
            levels: &self.levels,
            cheapest: CheapestCosts::of(self.routes.values()),
        };
        for row in self.routes.values_mut() {
            row.adapt(&conditions, self.policy.shed_by_cost);
        }
    }

    fn adapt_levels(&mut self, loads: &ServiceLoads) {
        for service in loads.names() {
            let level = self.levels.entry(service.clone()).or_default();
            let pressure = loads.pressure(service);
            level.adapt(pressure);
            match level.shedding_change() {
                Some(true) => {
                    tracing::info!(%service, ?pressure, "requests are shed for a service")
                }
                Some(false) => {
                    tracing::info!(%service, "no request is shed for a service any more")
                }
                None => {}
            }
        }
    }
}
