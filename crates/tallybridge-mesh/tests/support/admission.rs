//! Builds service loads and records answers for tests of admission control.

use std::{sync::Arc, time::Duration};

use tallybridge_mesh::{
    Route,
    configuration::tenants::TenantRank,
    protocol::{BackendState, Load, PeerStatus, SlotTimes},
    tables::{AdmissionControl, ServiceLoads},
};

/// Load that the back ends of one service report.
pub struct ReportedLoad {
    pub service: &'static str,
    pub limit: u16,
    pub in_flight: u16,
    /// Offered load in percent of the capacity.
    pub offered: u16,
    pub called: &'static [&'static str],
}

/// Returns the load of a service; `load` holds the slots in use, the calls in flight and the
/// offered load in percent.
pub fn reported_load(
    service: &'static str,
    load: (u16, u16, u16),
    called: &'static [&'static str],
) -> ReportedLoad {
    let (limit, in_flight, offered) = load;
    ReportedLoad {
        service,
        limit,
        in_flight,
        offered,
        called,
    }
}

pub fn service_loads(services: &[ReportedLoad]) -> ServiceLoads {
    let mut loads = ServiceLoads::default();
    for reported in services {
        let status = PeerStatus {
            backend: BackendState::Ready,
            load: Load {
                limit: reported.limit,
                in_flight: reported.in_flight,
                offered: reported.offered,
                ..Load::default()
            },
            called_services: reported
                .called
                .iter()
                .map(|name| Arc::from(*name))
                .collect(),
            ..PeerStatus::default()
        };
        loads.add(&Arc::from(reported.service), &status, reported.limit > 0);
    }
    loads
}

/// Returns how many of 1,000 requests are admitted.
pub fn count_admitted(admission: &mut AdmissionControl, route: &Route) -> usize {
    count_admitted_for(admission, route, default_rank())
}

pub fn count_admitted_for(
    admission: &mut AdmissionControl,
    route: &Route,
    rank: TenantRank,
) -> usize {
    let service = route.split.services()[0].service.clone();
    (0..1000)
        .filter(|_| admission.admits(route, &service, rank))
        .count()
}

pub fn default_rank() -> TenantRank {
    TenantRank::default()
}

/// Records ten successful answers whose requests held slots of each service for the given
/// milliseconds.
pub fn record_answers(admission: &mut AdmissionControl, route: &Route, costs: &[(&str, u64)]) {
    let mut times = SlotTimes::default();
    for (service, held_ms) in costs {
        times.add(&Arc::from(*service), Duration::from_millis(*held_ms));
    }
    count_admitted(admission, route);
    for _ in 0..10 {
        admission.record_answer(route, default_rank(), true, &times);
    }
}

/// Records `count` failures whose requests held slots of each service for the given milliseconds.
pub fn record_failures(
    admission: &mut AdmissionControl,
    route: &Route,
    count: usize,
    costs: &[(&str, u64)],
) {
    let mut times = SlotTimes::default();
    for (service, held_ms) in costs {
        times.add(&Arc::from(*service), Duration::from_millis(*held_ms));
    }
    for _ in 0..count {
        admission.record_answer(route, default_rank(), false, &times);
    }
}

/// Returns loads in which the deep service is offered three times its capacity.
pub fn overloaded_deep_service() -> ServiceLoads {
    service_loads(&[
        reported_load("top", (100, 10, 10), &["deep"]),
        reported_load("deep", (10, 50, 300), &[]),
    ])
}
