//! Admission control at an entry: refuses fresh requests early, because refusing a call deep in a
//! chain wastes all the work above it. Nested calls and retries are not subject to admission
//! control.
//!
//! Each service has an admission level that follows its offered load (`level.rs`). Each route has a
//! weight at each service, computed from the rank of the tenant, the priority and the cost of the
//! route (`weights.rs`). Once per tick of 100 ms, the admitted share of a route becomes the
//! smallest *level x weight* among the services that its requests need.
//!
//! The load of the node's own back end is current at each tick; the load of a peer is as old as the
//! last frame on its link.

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

/// Priority of all routes while `order_by_priority` is off.
const PRIORITY_WHEN_UNORDERED: u8 = 2;

/// Cost of a request of one route at one service that the route needs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RouteCost<'a> {
    /// Name of the route.
    pub route: &'a Arc<str>,
    /// Name of the service.
    pub service: &'a Arc<str>,
    /// Mean time, in seconds, for which a request holds slots of the service.
    pub seconds: f64,
}

/// Admission of fresh requests at one entry. The state is not persisted.
#[derive(Debug)]
pub struct AdmissionControl {
    /// Admission by route name and [`TenantRank::lower_priorities`]; tenants of equal rank share a route's
    /// state.
    routes: HashMap<(Arc<str>, u8), RouteAdmission>,
    levels: HashMap<Arc<str>, AdmissionLevel>,
    policy: PolicySettings,
    /// Share of a request, 0 to 1, that each route starts with.
    first_credit: f64,
}

impl Default for AdmissionControl {
    fn default() -> Self {
        Self::new(PolicySettings::default())
    }
}

impl AdmissionControl {
    /// Creates an admission control that admits all requests until load is reported.
    ///
    /// Its routes start with a random credit. If all entries started without one, each would refuse
    /// its first requests of a route, and many entries that see few requests would together admit
    /// much less than the admitted share.
    #[must_use]
    pub fn new(policy: PolicySettings) -> Self {
        Self::with_first_credit(policy, rand::random())
    }

    /// Creates an admission control whose routes start with a credit between 0 and 1.
    #[must_use]
    pub fn with_first_credit(policy: PolicySettings, first_credit: f64) -> Self {
        Self {
            routes: HashMap::new(),
            levels: HashMap::new(),
            policy,
            first_credit,
        }
    }

    /// Decides whether to admit a fresh request of a route; `service` is the service that receives
    /// it first.
    pub fn admits(&mut self, route: &Route, service: &Arc<str>, rank: TenantRank) -> bool {
        let priority = if self.policy.order_by_priority {
            route.priority
        } else {
            PRIORITY_WHEN_UNORDERED
        };
        let ranks = rank.lower_priorities;
        let admission = self
            .routes
            .entry((route.name.clone(), ranks))
            .or_insert_with(|| RouteAdmission::new(service, priority, ranks, self.first_credit));
        admission.record_request(service, priority);
        !self.policy.shed_at_entry || admission.admit_next()
    }

    /// Records that a back end answered a request; `succeeded` is false for a failure of the back
    /// end, and `times` holds the time for which the request held slots of each service.
    pub fn record_answer(
        &mut self,
        route: &Route,
        rank: TenantRank,
        succeeded: bool,
        times: &SlotTimes,
    ) {
        if !self.policy.shed_by_cost {
            return;
        }
        let key = (route.name.clone(), rank.lower_priorities);
        let Some(admission) = self.routes.get_mut(&key) else {
            return;
        };
        if admission.costs.record_answer(succeeded, times) {
            let needs: Vec<_> = admission
                .costs
                .known_costs()
                .into_iter()
                .flatten()
                .collect();
            tracing::info!(route = %route.name, ?needs, "learned which services the route needs");
        }
    }

    /// Records that an admitted request ended without an answer of a back end.
    pub fn record_unanswered(&mut self, route: &Route, rank: TenantRank) {
        let key = (route.name.clone(), rank.lower_priorities);
        if let Some(admission) = self.routes.get_mut(&key) {
            admission.costs.record_unanswered();
        }
    }

    /// Returns the costs of all routes with known costs, once for each rank of tenants.
    pub fn route_costs(&self) -> impl Iterator<Item = RouteCost<'_>> {
        self.routes.iter().flat_map(|((route, _), admission)| {
            let costs = admission.costs.known_costs().into_iter().flatten();
            costs.map(move |(service, seconds)| RouteCost {
                route,
                service,
                seconds,
            })
        })
    }

    /// Returns the routes that are partly shed, with the admitted share, 0 to 1.
    pub fn shed_routes(&self) -> impl Iterator<Item = (&Arc<str>, f64)> {
        let routes = self.routes.iter();
        let shed = routes.filter(|(_, admission)| admission.admitted_share() < 1.0);
        shed.map(|((route, _), admission)| (route, admission.admitted_share()))
    }

    /// Updates the levels and shares from the load of the services. Must be called once per tick.
    pub fn adapt(&mut self, loads: &ServiceLoads) {
        self.adapt_levels(loads);
        self.routes.retain(|_, admission| admission.tick());
        let conditions = Conditions {
            loads,
            levels: &self.levels,
            cheapest: CheapestCosts::from_routes(self.routes.values()),
        };
        for admission in self.routes.values_mut() {
            admission.adapt(&conditions, self.policy.shed_by_cost);
        }
    }

    fn adapt_levels(&mut self, loads: &ServiceLoads) {
        for service in loads.names() {
            let level = self.levels.entry(service.clone()).or_default();
            let pressure = loads.pressure(service);
            level.adapt(pressure);
            match level.shedding_change() {
                Some(true) => {
                    tracing::info!(%service, ?pressure, "started shedding requests that need the service")
                }
                Some(false) => {
                    tracing::info!(%service, "stopped shedding requests that need the service")
                }
                None => {}
            }
        }
    }
}
