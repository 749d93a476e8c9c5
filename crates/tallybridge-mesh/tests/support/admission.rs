//! Load of services as admission sees it, and answers from which it learns.

use std::{sync::Arc, time::Duration};

use tallybridge_mesh::{
    Route,
    configuration::tenants::TenantRank,
    protocol::{BackendState, Load, PeerStatus, SlotTimes},
    tables::{AdmissionControl, ServiceLoads},
};

/// The load that one service reports.
pub struct Seen {
    pub service: &'static str,
    pub limit: u16,
    pub in_flight: u16,
    /// Work that arrives, in hundredths of what it can do.
    pub offered: u16,
    pub called: &'static [&'static str],
}

pub fn seen(service: &'static str, busy: (u16, u16, u16), called: &'static [&'static str]) -> Seen {
    let (limit, in_flight, offered) = busy;
    Seen {
        service,
        limit,
        in_flight,
        offered,
        called,
    }
}

pub fn loads(services: &[Seen]) -> ServiceLoads {
    let mut loads = ServiceLoads::default();
    for seen in services {
        let status = PeerStatus {
            backend: BackendState::Ready,
            load: Load {
                limit: seen.limit,
                in_flight: seen.in_flight,
                offered: seen.offered,
                ..Load::default()
            },
            called_services: seen.called.iter().map(|name| Arc::from(*name)).collect(),
            ..PeerStatus::default()
        };
        loads.add(&Arc::from(seen.service), &status, seen.limit > 0);
    }
    loads
}

pub fn admitted(admission: &mut AdmissionControl, route: &Route) -> usize {
    admitted_of(admission, route, rank())
}

pub fn admitted_of(admission: &mut AdmissionControl, route: &Route, rank: TenantRank) -> usize {
    let service = route.parts[0].service.clone();
    (0..1000)
        .filter(|_| admission.admits(route, &service, rank))
        .count()
}

/// The rank of requests where no tenant goes before another.
pub fn rank() -> TenantRank {
    TenantRank::default()
}

/// Ten answers of a route that cost each service the given milliseconds.
pub fn learn(admission: &mut AdmissionControl, route: &Route, costs: &[(&str, u64)]) {
    let mut times = SlotTimes::default();
    for (service, held_ms) in costs {
        times.add(&Arc::from(*service), Duration::from_millis(*held_ms));
    }
    admitted(admission, route);
    for _ in 0..10 {
        admission.answered(route, rank(), true, &times);
    }
}

/// Answers of a route that are failures, after which it was known to cost this much at the least.
pub fn fail(
    admission: &mut AdmissionControl,
    route: &Route,
    answers: usize,
    costs: &[(&str, u64)],
) {
    let mut times = SlotTimes::default();
    for (service, held_ms) in costs {
        times.add(&Arc::from(*service), Duration::from_millis(*held_ms));
    }
    for _ in 0..answers {
        admission.answered(route, rank(), false, &times);
    }
}

/// A deep service that is asked for three times what it can do.
pub fn full_below() -> ServiceLoads {
    loads(&[
        seen("top", (100, 10, 10), &["deep"]),
        seen("deep", (10, 50, 300), &[]),
    ])
}
