//! What the services look like from one node.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use super::level::ServicePressure;
use crate::protocol::{Load, PeerStatus};

/// What one service looks like from here.
#[derive(Debug, Default)]
struct ServiceLoad {
    limit: f64,
    calls: f64,
    /// Work that arrives, in slots.
    offered: f64,
    called: HashSet<Arc<str>>,
}

/// All services, as the nodes beside their back ends tell.
#[derive(Debug, Default)]
pub struct ServiceLoads(HashMap<Arc<str>, ServiceLoad>);

impl ServiceLoads {
    /// Takes in the status of a node beside a back end of a service.
    pub fn add(&mut self, service: &Arc<str>, status: &PeerStatus, takes_work: bool) {
        let view = self.0.entry(service.clone()).or_default();
        view.called.extend(status.calls.iter().cloned());
        if takes_work {
            let Load {
                limit,
                in_flight,
                queued,
                ..
            } = status.load;
            view.limit += f64::from(limit);
            view.calls += f64::from(in_flight) + f64::from(queued);
            view.offered += f64::from(limit) * status.load.offered_share();
        }
    }

    /// Names of all services.
    pub(super) fn names(&self) -> impl Iterator<Item = &Arc<str>> {
        self.0.keys()
    }

    /// How busy a service is; `None` while no back end of it takes work.
    pub(super) fn pressure(&self, service: &str) -> Option<ServicePressure> {
        let view = self.0.get(service).filter(|view| view.limit > 0.0)?;
        Some(ServicePressure {
            offered: view.offered / view.limit,
            fullness: view.calls / view.limit,
        })
    }

    /// A service and all services below it, as far as their back ends called them lately.
    pub(super) fn reachable_from(&self, service: &Arc<str>) -> Vec<Arc<str>> {
        let mut found = vec![service.clone()];
        let mut next = 0;
        while let Some(service) = found.get(next).cloned() {
            next += 1;
            let Some(view) = self.0.get(&service) else {
                continue;
            };
            for called in &view.called {
                if !found.contains(called) {
                    found.push(called.clone());
                }
            }
        }
        found
    }
}
