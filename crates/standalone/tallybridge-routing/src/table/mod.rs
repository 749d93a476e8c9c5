//! Table of endpoints, which the node's actor owns, and the choice among them.

pub mod choice;
pub mod cost;
pub mod load;
pub mod profile;
pub mod service;

use std::{collections::BTreeMap, time::Instant};

use rand::rngs::SmallRng;
use tallybridge_core::{NodeId, ServiceName};

pub use load::ServiceLoad;

use crate::{
    AttemptResult, Endpoint, EndpointStatus, Locality, NoEndpoint, RoutingSettings,
    endpoint::row::EndpointRow,
};
use service::ServiceRows;

/// Every endpoint to which calls can be routed, by service.
#[derive(Debug, Clone)]
pub struct EndpointTable {
    local: Locality,
    settings: RoutingSettings,
    services: BTreeMap<ServiceName, ServiceRows>,
    services_of_nodes: BTreeMap<NodeId, ServiceName>,
    last_tick: Option<Instant>,
}

impl EndpointTable {
    /// Creates an empty table for a node at `local`.
    #[must_use]
    pub fn new(local: Locality, settings: RoutingSettings) -> Self {
        Self {
            local,
            settings,
            services: BTreeMap::new(),
            services_of_nodes: BTreeMap::new(),
            last_tick: None,
        }
    }

    /// Replaces the membership. Remaining members keep their state, and new ones start with the
    /// cold-start ramp. Removed members get no more calls, and their attempts in flight stay
    /// counted until they end.
    pub fn set_endpoints(&mut self, endpoints: impl IntoIterator<Item = Endpoint>, now: Instant) {
        for service in self.services.values_mut() {
            service.clear_membership();
        }
        for endpoint in endpoints {
            self.add_or_update_member(endpoint, now);
        }
        self.remove_unused();
        self.tick(now);
    }

    fn add_or_update_member(&mut self, endpoint: Endpoint, now: Instant) {
        let service_name = self.services_of_nodes.get(&endpoint.node);
        let service_name = service_name
            .cloned()
            .unwrap_or_else(|| endpoint.service.clone());
        let proximity = self.local.proximity(&endpoint);
        let service = self.services.entry(service_name.clone()).or_default();
        if let Some(row) = service.row_mut(endpoint.node) {
            row.is_member = true;
            row.proximity = proximity;
            row.endpoint.region = endpoint.region;
            row.endpoint.zone = endpoint.zone;
            return;
        }
        self.services_of_nodes.insert(endpoint.node, service_name);
        service.insert(EndpointRow::new(endpoint, proximity, &self.settings, now));
    }

    fn remove_unused(&mut self) {
        let nodes = &mut self.services_of_nodes;
        for service in self.services.values_mut() {
            service.remove_unused(|node| {
                nodes.remove(&node);
            });
        }
        self.services.retain(|_, service| !service.is_empty());
    }

    /// Marks an endpoint as leaving. It gets no new calls from then on.
    pub fn mark_leaving(&mut self, node: NodeId) {
        let Some(service) = self.services_of_nodes.get(&node) else {
            return;
        };
        let Some(service) = self.services.get_mut(service) else {
            return;
        };
        if let Some(row) = service.row_mut(node) {
            row.is_leaving = true;
        }
        if let Some(now) = self.last_tick {
            service.refresh(&self.settings, now);
        }
    }

    /// Chooses an endpoint and counts an attempt in flight there. The caller must report the end of
    /// the attempt with [`finish`](Self::finish).
    ///
    /// # Errors
    ///
    /// Returns [`NoEndpoint`] when no endpoint of the service can take the call.
    pub fn choose(
        &mut self,
        service: &ServiceName,
        excluded: &[NodeId],
        now: Instant,
        rng: &mut SmallRng,
    ) -> Result<NodeId, NoEndpoint> {
        self.services
            .get_mut(service)
            .ok_or(NoEndpoint::UnknownService)?
            .choose(excluded, &self.settings, now, rng)
    }

    /// Records the result of an attempt. The caller must report each chosen attempt exactly once.
    /// Results for an unknown endpoint are ignored.
    pub fn finish(&mut self, node: NodeId, result: AttemptResult, now: Instant) {
        let Some(service) = self.services_of_nodes.get(&node) else {
            return;
        };
        let Some(service) = self.services.get_mut(service) else {
            return;
        };
        if service.finish(node, result, &self.settings, now) {
            service.remove_unused(|_| ());
            service.refresh(&self.settings, now);
            self.services_of_nodes.remove(&node);
            self.services.retain(|_, service| !service.is_empty());
        }
    }

    /// Updates ejections, ramps and the profile of each service. The caller must run it about every
    /// 100 ms.
    pub fn tick(&mut self, now: Instant) {
        for service in self.services.values_mut() {
            service.refresh(&self.settings, now);
        }
        self.last_tick = Some(now);
    }

    /// Returns the status of every endpoint as of the latest tick, sorted by service and node.
    #[must_use]
    pub fn snapshot(&self) -> Vec<EndpointStatus> {
        let Some(now) = self.last_tick else {
            return Vec::new();
        };
        let status_of = |service: &ServiceRows| {
            let profile = *service.profile();
            let rows = service.rows().iter();
            rows.map(move |row| row.status(&profile, &self.settings, now))
                .collect::<Vec<_>>()
        };
        self.services.values().flat_map(status_of).collect()
    }
}
