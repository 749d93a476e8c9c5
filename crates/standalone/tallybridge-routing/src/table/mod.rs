//! The table of endpoints, which the node's actor owns.

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

/// Every endpoint that calls can be routed to, by service.
#[derive(Debug, Clone)]
pub struct EndpointTable {
    local: Locality,
    settings: RoutingSettings,
    services: BTreeMap<ServiceName, ServiceRows>,
    services_of_nodes: BTreeMap<NodeId, ServiceName>,
    updated: Option<Instant>,
}

impl EndpointTable {
    /// An empty table for a node at `local`.
    #[must_use]
    pub fn new(local: Locality, settings: RoutingSettings) -> Self {
        Self {
            local,
            settings,
            services: BTreeMap::new(),
            services_of_nodes: BTreeMap::new(),
            updated: None,
        }
    }

    /// Takes over the members: those which stay keep their state, new ones start cold. Those which
    /// are gone get no more calls; their attempts in flight stay counted until they end.
    pub fn set_endpoints(&mut self, endpoints: impl IntoIterator<Item = Endpoint>, now: Instant) {
        for service in self.services.values_mut() {
            service.forget_members();
        }
        for endpoint in endpoints {
            self.set_member(endpoint, now);
        }
        self.drop_done();
        self.tick(now);
    }

    fn set_member(&mut self, endpoint: Endpoint, now: Instant) {
        let known = self.services_of_nodes.get(&endpoint.node);
        let known = known.cloned().unwrap_or_else(|| endpoint.service.clone());
        let proximity = self.local.proximity(&endpoint);
        let service = self.services.entry(known.clone()).or_default();
        if let Some(row) = service.row_mut(endpoint.node) {
            row.is_member = true;
            row.proximity = proximity;
            row.endpoint.region = endpoint.region;
            row.endpoint.zone = endpoint.zone;
            return;
        }
        self.services_of_nodes.insert(endpoint.node, known);
        service.insert(EndpointRow::new(endpoint, proximity, &self.settings, now));
    }

    fn drop_done(&mut self) {
        let nodes = &mut self.services_of_nodes;
        for service in self.services.values_mut() {
            service.drop_done(|node| {
                nodes.remove(&node);
            });
        }
        self.services.retain(|_, service| !service.is_empty());
    }

    /// Gives the endpoint no new calls for the rest of its run.
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
        if let Some(now) = self.updated {
            service.review(&self.settings, now);
        }
    }

    /// Chooses an endpoint and counts an attempt in flight there; the attempt's end is reported
    /// with [`finish`](Self::finish).
    ///
    /// # Errors
    ///
    /// [`NoEndpoint`] when no endpoint of the service may be given the call.
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

    /// Takes in how an attempt at a chosen endpoint ended. Once for each choice; an end at an
    /// unknown endpoint is ignored.
    pub fn finish(&mut self, node: NodeId, result: AttemptResult, now: Instant) {
        let Some(service) = self.services_of_nodes.get(&node) else {
            return;
        };
        let Some(service) = self.services.get_mut(service) else {
            return;
        };
        if service.finish(node, result, &self.settings, now) {
            service.drop_done(|_| ());
            service.review(&self.settings, now);
            self.services_of_nodes.remove(&node);
            self.services.retain(|_, service| !service.is_empty());
        }
    }

    /// Brings ejections, ramps and what is usual for each service up to date; to be called some ten
    /// times a second.
    pub fn tick(&mut self, now: Instant) {
        for service in self.services.values_mut() {
            service.review(&self.settings, now);
        }
        self.updated = Some(now);
    }

    /// Every endpoint as of the latest tick, by service and node.
    #[must_use]
    pub fn snapshot(&self) -> Vec<EndpointStatus> {
        let Some(now) = self.updated else {
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
