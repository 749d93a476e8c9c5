//! Admits a share of the fresh requests of one route.

use std::{collections::HashMap, sync::Arc};

use super::{
    costs::RouteCosts,
    level::AdmissionLevel,
    services::ServiceLoads,
    weights::{CheapestCosts, priority_factor, tenant_factor},
};

/// Share of requests admitted while a needed service has no back end. It can be small because other
/// nodes report a back end that returns.
const UNAVAILABLE_SERVICE_SHARE: f64 = 0.02;
/// Number of 100 ms ticks without a request after which a route is removed.
const MAX_IDLE_TICKS: u32 = 600;

/// Inputs of one tick that all routes share.
pub(super) struct Conditions<'a> {
    pub(super) loads: &'a ServiceLoads,
    pub(super) levels: &'a HashMap<Arc<str>, AdmissionLevel>,
    pub(super) cheapest: CheapestCosts,
}

impl Conditions<'_> {
    /// Returns the share of requests, 0 to 1, that the needed service allows.
    fn allowed_share(&self, needed: &NeededService) -> f64 {
        if self.loads.pressure(&needed.service).is_none() {
            return UNAVAILABLE_SERVICE_SHARE;
        }
        let level = self.levels.get(&needed.service);
        level.map_or(1.0, |level| level.share(needed.weight))
    }
}

/// A service that the requests of a route need, and the weight of the route there.
struct NeededService {
    service: Arc<str>,
    weight: f64,
}

/// Admission of the fresh requests that one route receives from tenants of one rank.
#[derive(Debug)]
pub(super) struct RouteAdmission {
    /// First service of the newest request.
    service: Arc<str>,
    priority: u8,
    /// Number of tenant priorities below the priority of these tenants.
    lower_tenant_ranks: u8,
    pub(super) costs: RouteCosts,
    admitted_share: f64,
    /// Accumulated share of the requests so far; admitting a request takes 1.
    credit: f64,
    idle_ticks: u32,
}

impl RouteAdmission {
    /// Creates the admission of a route that admits all requests. `first_credit` is between 0 and 1.
    pub(super) fn new(
        service: &Arc<str>,
        priority: u8,
        lower_tenant_ranks: u8,
        first_credit: f64,
    ) -> Self {
        Self {
            service: service.clone(),
            priority,
            lower_tenant_ranks,
            costs: RouteCosts::default(),
            admitted_share: 1.0,
            credit: first_credit,
            idle_ticks: 0,
        }
    }

    pub(super) const fn priority(&self) -> u8 {
        self.priority
    }

    /// Returns the share of requests, 0 to 1, that is admitted.
    pub(super) const fn admitted_share(&self) -> f64 {
        self.admitted_share
    }

    /// Records a request with the service and priority of the current configuration.
    pub(super) fn record_request(&mut self, service: &Arc<str>, priority: u8) {
        self.service = service.clone();
        self.priority = priority;
        self.idle_ticks = 0;
    }

    /// Decides whether to admit the next request; a share of 1/n admits every n-th one.
    pub(super) fn admit_next(&mut self) -> bool {
        self.credit += self.admitted_share;
        let is_admitted = self.credit >= 1.0;
        if is_admitted {
            self.credit -= 1.0;
        }
        is_admitted
    }

    /// Counts a tick and returns whether to keep the route, which is false once it has been idle
    /// too long.
    pub(super) fn tick(&mut self) -> bool {
        self.idle_ticks += 1;
        self.costs.tick();
        self.idle_ticks <= MAX_IDLE_TICKS
    }

    /// Sets the admitted share to the smallest share that a needed service allows.
    pub(super) fn adapt(&mut self, conditions: &Conditions<'_>, shed_by_cost: bool) {
        let services = self.needed_services(conditions).into_iter();
        let shares = services.map(|needed| conditions.allowed_share(&needed));
        let allowed = shares.fold(1.0, f64::min);
        self.admitted_share = if shed_by_cost {
            allowed.max(self.costs.min_share())
        } else {
            allowed
        };
    }

    /// Returns the services with known costs and the first service of the route. While the costs
    /// are unknown, returns all services that are reachable from the first service.
    fn needed_services(&self, conditions: &Conditions<'_>) -> Vec<NeededService> {
        let Some(costs) = self.costs.known_costs() else {
            let reachable = conditions.loads.reachable_from(&self.service).into_iter();
            return reachable
                .map(|service| self.needed_service_without_cost(service))
                .collect();
        };
        let mut services: Vec<NeededService> = costs
            .map(|(service, cost)| self.needed_service(service, cost, &conditions.cheapest))
            .collect();
        if services.iter().all(|needed| needed.service != self.service) {
            services.push(self.needed_service_without_cost(self.service.clone()));
        }
        services
    }

    fn needed_service(
        &self,
        service: &Arc<str>,
        cost: f64,
        cheapest: &CheapestCosts,
    ) -> NeededService {
        let cost_factor = cheapest.cost_factor(service, self.priority, cost);
        let route_factor = priority_factor(self.priority) * cost_factor;
        NeededService {
            service: service.clone(),
            weight: tenant_factor(self.lower_tenant_ranks) * route_factor,
        }
    }

    /// Returns a needed service whose cost is unknown or negligible, weighted by rank and priority
    /// only.
    fn needed_service_without_cost(&self, service: Arc<str>) -> NeededService {
        NeededService {
            service,
            weight: tenant_factor(self.lower_tenant_ranks) * priority_factor(self.priority),
        }
    }
}
