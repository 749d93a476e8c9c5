//! The share of one route's fresh requests that is admitted, and which requests make up that share.

use std::{collections::HashMap, sync::Arc};

use super::{
    costs::RouteCosts,
    level::AdmissionLevel,
    services::ServiceLoads,
    weights::{CheapestCosts, priority_weight, tenant_weight},
};

/// Share of requests admitted while a service that they need has no back end. Other nodes report one
/// that is back, so hardly any request is needed to find out. Origin of the figure not recorded.
const SHARE_UNAVAILABLE: f64 = 0.02;
/// Ticks of 100 ms without a request after which a route is forgotten: one minute. Bounds the table
/// to the routes in use. Origin not recorded.
const FORGET_AFTER: u32 = 600;

/// What the shares of all routes are computed from in one tick.
pub(super) struct Conditions<'a> {
    /// Load of each service.
    pub(super) loads: &'a ServiceLoads,
    /// Level of each service.
    pub(super) levels: &'a HashMap<Arc<str>, AdmissionLevel>,
    /// Cost of the cheapest route of each priority.
    pub(super) cheapest: CheapestCosts,
}

impl Conditions<'_> {
    /// Share of the requests with this need that the needed service allows, 0 to 1.
    fn share_allowed(&self, need: &Need) -> f64 {
        if self.loads.pressure(&need.service).is_none() {
            return SHARE_UNAVAILABLE;
        }
        let level = self.levels.get(&need.service);
        level.map_or(1.0, |level| level.share(need.weight))
    }
}

/// A service that requests of a route need, and the weight of the route there.
struct Need {
    service: Arc<str>,
    weight: f64,
}

/// Admission of the fresh requests of one route that come from tenants of one rank.
#[derive(Debug)]
pub(super) struct RouteAdmission {
    /// Service to which its last request went first.
    service: Arc<str>,
    priority: u8,
    tenants_after: u8,
    /// What its requests cost each service.
    pub(super) costs: RouteCosts,
    admitted_share: f64,
    /// Requests that may be admitted by now; a request takes 1.
    credit: f64,
    /// Ticks since its last request.
    idle_ticks: u32,
}

impl RouteAdmission {
    /// A route all requests of which are admitted, for tenants with so many priorities after theirs.
    pub(super) fn new(service: &Arc<str>, priority: u8, tenants_after: u8) -> Self {
        Self {
            service: service.clone(),
            priority,
            tenants_after,
            costs: RouteCosts::default(),
            admitted_share: 1.0,
            credit: 0.0,
            idle_ticks: 0,
        }
    }

    pub(super) const fn priority(&self) -> u8 {
        self.priority
    }

    /// The share of requests that is admitted, 0 to 1.
    pub(super) const fn admitted_share(&self) -> f64 {
        self.admitted_share
    }

    /// A request arrived, under the configuration of now.
    pub(super) fn requested(&mut self, service: &Arc<str>, priority: u8) {
        self.service = service.clone();
        self.priority = priority;
        self.idle_ticks = 0;
    }

    /// Whether the request that arrived is admitted: every n-th one at a share of 1/n.
    pub(super) fn admits_next(&mut self) -> bool {
        self.credit += self.admitted_share;
        let is_admitted = self.credit >= 1.0;
        if is_admitted {
            self.credit -= 1.0;
        }
        is_admitted
    }

    /// Counts a tick; `false` when the route has been idle for so long that it is to be forgotten.
    pub(super) fn tick(&mut self) -> bool {
        self.idle_ticks += 1;
        self.costs.tick();
        self.idle_ticks <= FORGET_AFTER
    }

    /// Sets the share to what the service that allows the least does.
    pub(super) fn adapt(&mut self, conditions: &Conditions<'_>, by_cost: bool) {
        let needs = self.needs(conditions).into_iter();
        let shares = needs.map(|need| conditions.share_allowed(&need));
        let allowed = shares.fold(1.0, f64::min);
        self.admitted_share = if by_cost {
            allowed.max(self.costs.least_share())
        } else {
            allowed
        };
    }

    /// The services that its requests need: those named by its answers, or all that can be reached
    /// from its service until enough answers have come.
    fn needs(&self, conditions: &Conditions<'_>) -> Vec<Need> {
        let Some(known) = self.costs.known() else {
            let reachable = conditions.loads.reachable_from(&self.service).into_iter();
            return reachable
                .map(|service| self.uncosted_need(service))
                .collect();
        };
        let mut needs: Vec<Need> = known
            .map(|(service, cost)| self.need(service, cost, &conditions.cheapest))
            .collect();
        if needs.iter().all(|need| need.service != self.service) {
            needs.push(self.uncosted_need(self.service.clone()));
        }
        needs
    }

    fn need(&self, service: &Arc<str>, cost: f64, cheapest: &CheapestCosts) -> Need {
        let of_cost = cheapest.cost_weight(service, self.priority, cost);
        let of_route = priority_weight(self.priority) * of_cost;
        Need {
            service: service.clone(),
            weight: tenant_weight(self.tenants_after) * of_route,
        }
    }

    /// The need of a service whose cost to it is unknown or nothing.
    fn uncosted_need(&self, service: Arc<str>) -> Need {
        Need {
            service,
            weight: tenant_weight(self.tenants_after) * priority_weight(self.priority),
        }
    }
}
