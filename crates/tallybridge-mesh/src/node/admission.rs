//! The node's operations on admission control, for the request path and the metrics.
//!
//! Locks the node's tables around [`AdmissionControl`](crate::tables::AdmissionControl);
//! [`crate::tables::admission`] defines the rule.

use std::{collections::BTreeMap, sync::Arc};

use super::Node;
use crate::{
    configuration::{Route, tenants::TenantRank},
    protocol::SlotTimes,
};

impl Node {
    /// Decides whether to admit a fresh request of a route whose first call goes to `service`.
    #[must_use]
    pub fn admits(&self, route: &Route, service: &Arc<str>, rank: TenantRank) -> bool {
        self.tables().admission.admits(route, service, rank)
    }

    /// Records that a back end answered an admitted request of a route, and how long the request
    /// held slots of each service. `succeeded` is `false` if the back end reported a failure.
    pub fn route_answered(
        &self,
        route: &Route,
        rank: TenantRank,
        succeeded: bool,
        times: &SlotTimes,
    ) {
        self.tables()
            .admission
            .record_answer(route, rank, succeeded, times);
    }

    /// Records that an admitted request of a route ended without an answer from a back end.
    pub fn route_unanswered(&self, route: &Route, rank: TenantRank) {
        self.tables().admission.record_unanswered(route, rank);
    }

    /// Returns the slot time, in milliseconds, that a request of a route takes at a service, keyed
    /// by route and service. Each value is the maximum over the tenant ranks.
    #[must_use]
    pub fn route_costs(&self) -> BTreeMap<(Arc<str>, Arc<str>), f64> {
        let tables = self.tables();
        let mut costs = BTreeMap::new();
        for cost in tables.admission.route_costs() {
            let key = (cost.route.clone(), cost.service.clone());
            let max_cost: &mut f64 = costs.entry(key).or_default();
            *max_cost = max_cost.max(cost.seconds * 1000.0);
        }
        costs
    }

    /// Returns the admitted share, 0 to 1, of each route whose fresh requests are partly refused.
    /// Each value is the minimum over the tenant ranks.
    #[must_use]
    pub fn shed_routes(&self) -> BTreeMap<Arc<str>, f64> {
        let tables = self.tables();
        let mut routes = BTreeMap::new();
        for (route, share) in tables.admission.shed_routes() {
            let min_share = routes.entry(route.clone()).or_insert(share);
            *min_share = share.min(*min_share);
        }
        routes
    }
}
