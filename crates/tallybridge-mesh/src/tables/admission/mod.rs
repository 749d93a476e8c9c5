//! Which fresh requests are refused at the entry, so that calls deeper down are not.
//!
//! A call that is refused deep in a chain wastes all the work above it. So each entry looks at how
//! full the services are that a request will need, directly or through the calls of others, and
//! lets in a share of the fresh requests that keeps the fullest of them just busy. Each service has
//! one level, and each route a weight there by its priority and by what its requests cost that
//! service ([docs/DECISIONS.md](../../../../../docs/DECISIONS.md)).

mod costs;
mod level;
mod services;

use std::{collections::HashMap, sync::Arc};

pub use self::services::ServiceLoads;
use self::{
    costs::RouteCosts,
    level::{AdmissionLevel, tenant_weight, weight},
};
use crate::protocol::SlotTimes;
use crate::{
    configuration::{Route, tenants::TenantRank},
    policy::PolicySettings,
};

/// Share that is let in while a service that is needed has no back end. The nodes tell when it is
/// back, so hardly any request is needed to find out.
const SHARE_UNAVAILABLE: f64 = 0.02;
/// Priority of all routes where priorities are switched off.
const EQUAL_PRIORITY: u8 = 2;
/// Looks after which a route that nobody asked for is forgotten: a minute of them.
const FORGET_AFTER: u32 = 600;

#[derive(Debug)]
struct RouteAdmission {
    service: Arc<str>,
    priority: u8,
    /// Priorities of tenants that come after that of these requests.
    tenants_after: u8,
    costs: RouteCosts,
    admitted: f64,
    owed: f64,
    idle_looks: u32,
}

impl RouteAdmission {
    fn new(service: &Arc<str>, priority: u8, tenants_after: u8) -> Self {
        Self {
            service: service.clone(),
            priority,
            tenants_after,
            costs: RouteCosts::default(),
            admitted: 1.0,
            owed: 0.0,
            idle_looks: 0,
        }
    }
}

/// A service that requests of a route need, with their weight there.
struct Need {
    service: Arc<str>,
    weight: f64,
}

/// The least that a request costs a service, by service and priority, in seconds.
#[derive(Default)]
struct CheapestCosts(HashMap<(Arc<str>, u8), f64>);

impl CheapestCosts {
    fn of<'a>(shares: impl Iterator<Item = &'a RouteAdmission>) -> Self {
        let mut cheapest = Self::default();
        for share in shares {
            for (service, cost) in share.costs.known().into_iter().flatten() {
                let key = (service.clone(), share.priority);
                let least = cheapest.0.entry(key).or_insert(cost);
                *least = least.min(cost);
            }
        }
        cheapest
    }

    fn get(&self, service: &Arc<str>, priority: u8) -> f64 {
        let key = (service.clone(), priority);
        self.0.get(&key).copied().unwrap_or(0.0)
    }
}

/// What a request of a route costs a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RouteCost<'a> {
    /// The route.
    pub route: &'a Arc<str>,
    /// The service.
    pub service: &'a Arc<str>,
    /// Time for which its slots are held, in seconds.
    pub seconds: f64,
}

/// The share of fresh requests that is let in, for each route.
#[derive(Debug, Default)]
pub struct AdmissionControl {
    /// By route, and by the priorities of tenants that come after that of the request.
    shares: HashMap<(Arc<str>, u8), RouteAdmission>,
    levels: HashMap<Arc<str>, AdmissionLevel>,
    policy: PolicySettings,
}

impl AdmissionControl {
    /// Shedding by other switches than the usual ones.
    #[must_use]
    pub fn new(policy: PolicySettings) -> Self {
        Self {
            policy,
            ..Self::default()
        }
    }

    /// Whether a fresh request is let in. Those let in are spread evenly over those that come.
    pub fn admits(&mut self, route: &Route, service: &Arc<str>, rank: TenantRank) -> bool {
        let share = self
            .shares
            .entry((route.name.clone(), rank.after))
            .or_insert_with(|| RouteAdmission::new(service, route.priority, rank.after));
        share.service = service.clone();
        share.priority = if self.policy.order_by_priority {
            route.priority
        } else {
            EQUAL_PRIORITY
        };
        share.idle_looks = 0;
        if !self.policy.shed_at_entry {
            return true;
        }
        share.owed += share.admitted;
        let is_admitted = share.owed >= 1.0;
        if is_admitted {
            share.owed -= 1.0;
        }
        is_admitted
    }

    /// A back end answered a request of a route, well or with a failure of its own, after it held
    /// slots for these times.
    pub fn answered(&mut self, route: &Route, rank: TenantRank, well: bool, times: &SlotTimes) {
        if !self.policy.shed_by_cost {
            return;
        }
        let key = (route.name.clone(), rank.after);
        let Some(share) = self.shares.get_mut(&key) else {
            return;
        };
        if share.costs.answered(well, times) {
            let needs: Vec<_> = share.costs.known().into_iter().flatten().collect();
            tracing::info!(route = %route.name, ?needs, "services that a route needs are known");
        }
    }

    /// A request of a route ended without an answer of a back end.
    pub fn unanswered(&mut self, route: &Route, rank: TenantRank) {
        let key = (route.name.clone(), rank.after);
        if let Some(share) = self.shares.get_mut(&key) {
            share.costs.unanswered();
        }
    }

    /// What a request of each route costs each service that it is known to need, in seconds.
    pub fn route_costs(&self) -> impl Iterator<Item = RouteCost<'_>> {
        self.shares.iter().flat_map(|((route, _), share)| {
            let costs = share.costs.known().into_iter().flatten();
            costs.map(move |(service, seconds)| RouteCost {
                route,
                service,
                seconds,
            })
        })
    }

    /// Routes of which not every fresh request is let in, with the share that is.
    pub fn shed_routes(&self) -> impl Iterator<Item = (&Arc<str>, f64)> {
        let shares = self.shares.iter();
        let shed = shares.filter(|(_, share)| share.admitted < 1.0);
        shed.map(|((route, _), share)| (route, share.admitted))
    }

    /// Whether every fresh request is let in.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.shares.values().all(|share| share.admitted >= 1.0)
    }

    /// Adapts the shares to what the services look like.
    pub fn adapt(&mut self, services: &ServiceLoads) {
        self.adapt_levels(services);
        self.forget_idle();
        let cheapest = CheapestCosts::of(self.shares.values());
        for share in self.shares.values_mut() {
            let needs = needs(share, services, &cheapest);
            let shares = needs.into_iter().map(|need| {
                if services.pressure(&need.service).is_none() {
                    return SHARE_UNAVAILABLE;
                }
                let level = self.levels.get(&need.service);
                level.map_or(1.0, |level| level.share(need.weight))
            });
            let admitted = shares.fold(1.0, f64::min);
            share.admitted = if self.policy.shed_by_cost {
                admitted.max(share.costs.least_share())
            } else {
                admitted
            };
        }
    }

    fn adapt_levels(&mut self, services: &ServiceLoads) {
        for service in services.names() {
            let level = self.levels.entry(service.clone()).or_default();
            let pressure = services.pressure(service);
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

    fn forget_idle(&mut self) {
        self.shares.retain(|_, share| {
            share.idle_looks += 1;
            share.costs.look();
            share.idle_looks <= FORGET_AFTER
        });
    }
}

/// The services that requests of a route need: those that its answers told of, or until enough of
/// them did, all that can be reached from its service.
fn needs(share: &RouteAdmission, services: &ServiceLoads, cheapest: &CheapestCosts) -> Vec<Need> {
    let priority = share.priority;
    let tenant = tenant_weight(share.tenants_after);
    let Some(known) = share.costs.known() else {
        let reachable = services.reachable_from(&share.service).into_iter();
        let needs = reachable.map(|service| Need {
            service,
            weight: tenant * weight(priority, 0.0, 0.0),
        });
        return needs.collect();
    };
    let mut needs: Vec<Need> = known
        .map(|(service, cost)| Need {
            service: service.clone(),
            weight: tenant * weight(priority, cost, cheapest.get(service, priority)),
        })
        .collect();
    if needs.iter().all(|need| need.service != share.service) {
        needs.push(Need {
            service: share.service.clone(),
            weight: tenant * weight(priority, 0.0, 0.0),
        });
    }
    needs
}
