//! Admission as requests and the metrics use it: [`AdmissionControl`](crate::tables::AdmissionControl)
//! behind the node's lock. The rule stands in [`crate::tables::admission`].

use std::{collections::BTreeMap, sync::Arc};

use super::Node;
use crate::{
    configuration::{Route, tenants::TenantRank},
    protocol::SlotTimes,
};

impl Node {
    /// Whether a fresh request of a route, which goes to `service` first, is admitted.
    #[must_use]
    pub fn admits(&self, route: &Route, service: &Arc<str>, rank: TenantRank) -> bool {
        self.tables().admission.admits(route, service, rank)
    }

    /// A back end answered a request of a route, well or with a failure of its own, after it held
    /// slots for these times.
    pub fn route_answered(&self, route: &Route, rank: TenantRank, well: bool, times: &SlotTimes) {
        self.tables()
            .admission
            .record_answer(route, rank, well, times);
    }

    /// An admitted request of a route ended without an answer of a back end.
    pub fn route_unanswered(&self, route: &Route, rank: TenantRank) {
        self.tables().admission.record_unanswered(route, rank);
    }

    /// What a request of each route costs each service that it is known to need, by route and service,
    /// in milliseconds of slots; the greatest over the ranks of tenants.
    #[must_use]
    pub fn route_costs(&self) -> BTreeMap<(Arc<str>, Arc<str>), f64> {
        let tables = self.tables();
        let mut costs = BTreeMap::new();
        for cost in tables.admission.route_costs() {
            let key = (cost.route.clone(), cost.service.clone());
            let greatest: &mut f64 = costs.entry(key).or_default();
            *greatest = greatest.max(cost.seconds * 1000.0);
        }
        costs
    }

    /// Routes of which not every fresh request is admitted, with the share that is, 0 to 1; the least
    /// over the ranks of tenants.
    #[must_use]
    pub fn shed_routes(&self) -> BTreeMap<Arc<str>, f64> {
        let tables = self.tables();
        let mut routes = BTreeMap::new();
        for (route, share) in tables.admission.shed_routes() {
            let least = routes.entry(route.clone()).or_insert(share);
            *least = share.min(*least);
        }
        routes
    }
}
