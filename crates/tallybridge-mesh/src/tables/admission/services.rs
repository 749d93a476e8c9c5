//! Load of all services, as one node sees it in one tick.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use super::level::ServicePressure;
use crate::protocol::{Load, PeerStatus};

/// Sums over the back ends of one service that take work.
#[derive(Debug, Default)]
struct ServiceLoad {
    /// Slots in use.
    limit: f64,
    /// Calls that run or wait.
    calls: f64,
    /// Work that arrives, in slots.
    offered: f64,
    /// Services that its back ends call, also those of back ends that take no work.
    called: HashSet<Arc<str>>,
}

/// Load of all services, as reported by the nodes beside their back ends.
#[derive(Debug, Default)]
pub struct ServiceLoads(HashMap<Arc<str>, ServiceLoad>);

impl ServiceLoads {
    /// Adds the status of a node beside a back end of a service.
    pub fn add(&mut self, service: &Arc<str>, status: &PeerStatus, takes_work: bool) {
        let sums = self.0.entry(service.clone()).or_default();
        sums.called.extend(status.called_services.iter().cloned());
        if takes_work {
            let Load {
                limit,
                in_flight,
                queued,
                ..
            } = status.load;
            sums.limit += f64::from(limit);
            sums.calls += f64::from(in_flight) + f64::from(queued);
            sums.offered += f64::from(limit) * status.load.offered_load();
        }
    }

    /// Names of all services.
    pub(super) fn names(&self) -> impl Iterator<Item = &Arc<str>> {
        self.0.keys()
    }

    /// How busy a service is; `None` while no back end of it takes work.
    pub(super) fn pressure(&self, service: &str) -> Option<ServicePressure> {
        let sums = self.0.get(service).filter(|sums| sums.limit > 0.0)?;
        Some(ServicePressure {
            offered: sums.offered / sums.limit,
            fullness: sums.calls / sums.limit,
        })
    }

    /// A service and all services below it, by the calls that back ends report.
    pub(super) fn reachable_from(&self, service: &Arc<str>) -> Vec<Arc<str>> {
        let mut found = vec![service.clone()];
        let mut next = 0;
        while let Some(service) = found.get(next).cloned() {
            next += 1;
            let Some(sums) = self.0.get(&service) else {
                continue;
            };
            for called in &sums.called {
                if !found.contains(called) {
                    found.push(called.clone());
                }
            }
        }
        found
    }
}
