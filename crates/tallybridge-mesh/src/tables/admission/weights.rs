//! The weight of a route at a service determines which requests are shed first.
//!
//! The weight is the product of three factors: the rank of the tenant, the priority of the route,
//! and the square root of *cost of the cheapest route of that priority / cost of this route*.
//! Shedding costly requests first serves more requests with the same capacity. The admitted shares
//! of two routes that are both shed have the ratio of their weights.

use std::{collections::HashMap, sync::Arc};

use super::route::RouteAdmission;

/// Factor by priority, the most urgent first.
///
/// At 3 the most urgent requests are all admitted until two thirds of the least urgent ones are shed.
/// At 4 fewer requests were served in total while a third of the deepest service was left.
///
/// The middle value is 3 x [`MIN_COST_FACTOR`], so that the costliest request of the most urgent
/// priority does not rank below a cheap request of the next priority.
const PRIORITY_FACTORS: [f64; 3] = [3.0, 1.74, 1.0];
/// Factor for each tenant priority below that of the tenant. It exceeds 3 / [`MIN_WEIGHT`] = 5.17,
/// the largest ratio of the weights of two routes, so that the tenant rank takes precedence over
/// the priority.
const TENANT_RANK_FACTOR: f64 = 5.4;
/// Minimum cost factor, which keeps costly routes from starving.
const MIN_COST_FACTOR: f64 = 0.58;
/// Minimum weight of a request.
pub(super) const MIN_WEIGHT: f64 = PRIORITY_FACTORS[2] * MIN_COST_FACTOR;

/// Returns the factor of a tenant; `lower_tenant_ranks` counts the tenant priorities below its own.
pub(super) fn tenant_factor(lower_tenant_ranks: u8) -> f64 {
    TENANT_RANK_FACTOR.powi(lower_tenant_ranks.into())
}

/// Returns the factor of a priority; 0 is the most urgent, and values above 2 count as 2.
pub(super) fn priority_factor(priority: u8) -> f64 {
    PRIORITY_FACTORS[usize::from(priority.min(2))]
}

/// Lowest cost, in slot seconds, of a request of each priority at each service.
#[derive(Default)]
pub(super) struct CheapestCosts(HashMap<(Arc<str>, u8), f64>);

impl CheapestCosts {
    /// Collects the lowest costs among the routes with known costs.
    pub(super) fn from_routes<'a>(routes: impl Iterator<Item = &'a RouteAdmission>) -> Self {
        let mut cheapest = Self::default();
        for route in routes {
            for (service, cost) in route.costs.known_costs().into_iter().flatten() {
                let key = (service.clone(), route.priority());
                let lowest = cheapest.0.entry(key).or_insert(cost);
                *lowest = lowest.min(cost);
            }
        }
        cheapest
    }

    /// Returns the factor of a route that costs a service `cost` seconds. `cost` must be positive.
    pub(super) fn cost_factor(&self, service: &Arc<str>, priority: u8, cost: f64) -> f64 {
        let key = (service.clone(), priority);
        let cheapest = self.0.get(&key).copied().unwrap_or(cost);
        (cheapest / cost).sqrt().clamp(MIN_COST_FACTOR, 1.0)
    }
}
