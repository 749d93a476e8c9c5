//! Load of all services in one tick, as seen by one node.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use super::level::ServicePressure;
use crate::protocol::{Load, PeerStatus};

/// Sums over the back ends of one service that accept work.
#[derive(Debug, Default)]
struct ServiceLoad {
    /// Slots in use.
    limit: f64,
    /// Running and waiting calls.
    calls: f64,
    /// Offered load in slots.
    offered: f64,
    /// Services called by any back end of the service, including back ends that accept no work.
    called_services: HashSet<Arc<str>>,
}

/// Load of all services, as reported by the nodes beside their back ends.
#[derive(Debug, Default)]
pub struct ServiceLoads(HashMap<Arc<str>, ServiceLoad>);

impl ServiceLoads {
    /// Adds the status of one node. `takes_work` is false if its back end accepts no work; the
    /// status then contributes only the services that the back end calls.
    pub fn add(&mut self, service: &Arc<str>, status: &PeerStatus, takes_work: bool) {
        let totals = self.0.entry(service.clone()).or_default();
        totals
            .called_services
            .extend(status.called_services.iter().cloned());
        if takes_work {
            let Load {
                limit,
                in_flight,
                queued,
                ..
            } = status.load;
            totals.limit += f64::from(limit);
            totals.calls += f64::from(in_flight) + f64::from(queued);
            totals.offered += f64::from(limit) * status.load.offered_load();
        }
    }

    pub(super) fn names(&self) -> impl Iterator<Item = &Arc<str>> {
        self.0.keys()
    }

    /// Returns the load relative to the capacity, or `None` while no back end accepts work.
    pub(super) fn pressure(&self, service: &str) -> Option<ServicePressure> {
        let totals = self.0.get(service).filter(|totals| totals.limit > 0.0)?;
        Some(ServicePressure {
            offered: totals.offered / totals.limit,
            fullness: totals.calls / totals.limit,
        })
    }

    /// Returns the service and all services that its calls reach, directly or indirectly.
    pub(super) fn reachable_from(&self, service: &Arc<str>) -> Vec<Arc<str>> {
        let mut reachable = vec![service.clone()];
        let mut next_index = 0;
        while let Some(service) = reachable.get(next_index).cloned() {
            next_index += 1;
            let Some(totals) = self.0.get(&service) else {
                continue;
            };
            for called in &totals.called_services {
                if !reachable.contains(called) {
                    reachable.push(called.clone());
                }
            }
        }
        reachable
    }
}
