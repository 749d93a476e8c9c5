//! The weight of a route at a service: which requests are refused first, and in what proportion.
//!
//! **Rule.** The weight is the product of three factors: the rank of the tenant, the priority of the
//! route, and the square root of how much cheaper the cheapest route of that priority is for the
//! service. The admitted shares of two routes keep the proportion of their weights once both are
//! shed.
//!
//! **Why.** Refusing a costly request frees more than refusing a cheap one, so more requests are
//! served if costly ones go first. Why by the square root: Origin not recorded.

use std::{collections::HashMap, sync::Arc};

use super::route::RouteAdmission;

/// Weight by priority, the most urgent first.
///
/// At 3 the most urgent requests are all admitted until two thirds of the least urgent ones are
/// shed. A weight of 4 made no difference on recorded days, and at a third of the deepest service
/// the simulated chain served 0.22 of all requests instead of the 0.25 required
/// (`docs/DECISIONS.md`). 1.74 equals 3 x [`LEAST_COST_WEIGHT`], so that no costly request falls
/// behind a cheap one of the next priority.
const PRIORITY_WEIGHT: [f64; 3] = [3.0, 1.74, 1.0];
/// Factor for each priority of tenants below a tenant's own. It exceeds 3 / [`LEAST_WEIGHT`] = 5.17,
/// the greatest ratio of two routes' weights, so that a tenant's rank goes before any priority.
const TENANT_WEIGHT: f64 = 5.4;
/// Least factor by cost, for a route that costs the service three times as much as the cheapest one
/// or more. The weights of two priorities differ by more than that, and no route starves behind
/// cheaper ones. Origin of the figure not recorded.
const LEAST_COST_WEIGHT: f64 = 0.58;
/// Least weight that a request can have, of all tenants, priorities and costs.
pub(super) const LEAST_WEIGHT: f64 = PRIORITY_WEIGHT[2] * LEAST_COST_WEIGHT;

/// Factor by the rank of the tenant: `tenants_after` priorities of tenants come after its own.
pub(super) fn tenant_weight(tenants_after: u8) -> f64 {
    TENANT_WEIGHT.powi(tenants_after.into())
}

/// Factor by the priority of the route; 0 is the most urgent, and all above 2 count as 2.
pub(super) fn priority_weight(priority: u8) -> f64 {
    PRIORITY_WEIGHT[usize::from(priority.min(2))]
}

/// The least that a request of each priority costs each service, in seconds of its slots.
#[derive(Default)]
pub(super) struct CheapestCosts(HashMap<(Arc<str>, u8), f64>);

impl CheapestCosts {
    /// The least costs among routes, of those whose costs are known.
    pub(super) fn of<'a>(routes: impl Iterator<Item = &'a RouteAdmission>) -> Self {
        let mut cheapest = Self::default();
        for route in routes {
            for (service, cost) in route.costs.known().into_iter().flatten() {
                let key = (service.clone(), route.priority());
                let least = cheapest.0.entry(key).or_insert(cost);
                *least = least.min(cost);
            }
        }
        cheapest
    }

    /// Factor for a route that costs a service `cost` seconds, above 0.
    pub(super) fn cost_weight(&self, service: &Arc<str>, priority: u8, cost: f64) -> f64 {
        let key = (service.clone(), priority);
        let cheapest = self.0.get(&key).copied().unwrap_or(cost);
        (cheapest / cost).sqrt().clamp(LEAST_COST_WEIGHT, 1.0)
    }
}
