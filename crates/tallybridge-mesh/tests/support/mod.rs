//! Helpers that the tests of this crate share.

#![allow(dead_code)]

pub mod admission;
pub mod chain;
pub mod crashing_service;
pub mod overload;
pub mod quota;

use std::time::Duration;

use tallybridge_mesh::{Route, RouteKind, TrafficSplit, WeightedService, platform::HeaderNames};

/// Returns a route for idempotent requests. `services` lists the names and weights of its services.
pub fn route(
    name: &str,
    host: &str,
    prefix: &str,
    priority: u8,
    services: &[(&str, u32)],
) -> Route {
    Route {
        name: name.into(),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_secs(1),
        priority,
        max_attempts: 2,
        is_public: false,
        split: TrafficSplit::new(weighted_services(services)),
    }
}

pub fn weighted_services(services: &[(&str, u32)]) -> Vec<WeightedService> {
    let services = services.iter();
    services
        .map(|(service, weight)| WeightedService {
            service: (*service).into(),
            weight: *weight,
        })
        .collect()
}

/// Returns example header names.
pub fn header_names() -> HeaderNames {
    HeaderNames {
        attempt: "Attempt",
        deadline_ms: "Deadline",
        expected_instance: "Expected",
        not_run: "Not-Run",
        caller_service: "Caller",
        instance: "Instance",
        credential: "Credential",
        tenant: "Tenant",
        rate_limit: "Rate-Limit",
        leaving: "Leaving",
    }
}
