//! The node's own figures, as text.

use std::{
    fmt::Write,
    sync::{Arc, atomic::Ordering},
};

use crate::{
    http::{Answer, HttpLimits, Request, RequestHandler},
    node::Node,
};

/// Shows the figures in the text format of Prometheus.
#[derive(Clone)]
pub struct MetricsHandler(pub Arc<Node>);

impl RequestHandler for MetricsHandler {
    async fn handle(&self, _request: Request) -> Answer {
        Answer::new(200, page(&self.0)).with_header("Content-Type", "text/plain; version=0.0.4")
    }

    fn limits(&self) -> HttpLimits {
        HttpLimits::default()
    }

    fn is_closing(&self) -> bool {
        false
    }
}

fn page(node: &Node) -> String {
    let counters = &node.counters;
    let load = node.load();
    let status = node.status();
    let watch_view = node.watch_view();
    let fleet = node.with_peers(|peers| (peers.known_size(), peers.links().count()));
    let counts = [
        ("requests_total", &counters.requests),
        ("answered_total", &counters.answered),
        ("refused_total", &counters.refused),
        ("repeats_total", &counters.retries),
        ("executed_total", &counters.executed),
        ("backend_connections_total", &counters.connections),
        ("health_checks_total", &counters.health_checks),
        ("store_calls_total", &counters.store_calls),
        ("quota_asks_total", &counters.quota_asks),
        ("refused_unknown_key_total", &counters.unknown_keys),
        ("refused_over_quota_total", &counters.over_quota),
        (
            "refused_stale_configuration_total",
            &counters.stale_configuration,
        ),
        ("backend_crashes_total", &counters.crashes),
        ("refused_quarantined_total", &counters.quarantined),
    ];
    let mut text = String::new();
    for (name, value) in counts {
        line(&mut text, name, "counter", value.load(Ordering::Relaxed));
    }
    if let Some(age) = node.read_age() {
        let age = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        line(
            &mut text,
            "configuration_read_age_milliseconds",
            "gauge",
            age,
        );
    }
    let quarantine = node.quarantine_counts();
    let gauges = [
        ("concurrency_limit", u64::from(load.limit)),
        ("calls_in_flight", u64::from(load.in_flight)),
        ("calls_queued", u64::from(load.queued)),
        ("queue_wait_milliseconds", u64::from(load.wait_ms)),
        ("call_milliseconds", u64::from(load.service_ms)),
        (
            "calls_failing_percent",
            (load.failing_share() * 100.0) as u64,
        ),
        ("configuration_version", status.version),
        ("backend_state", status.backend as u64),
        ("nodes_known", fleet.0 as u64),
        ("links_open", fleet.1 as u64),
        ("watches_store", u64::from(node.is_watcher())),
        ("peers_confirming", watch_view.confirming as u64),
        ("requests_suspected", quarantine.suspects as u64),
        ("requests_held_back", quarantine.quarantined as u64),
        ("requests_in_flight", node.requests_in_flight() as u64),
    ];
    for (name, value) in gauges {
        line(&mut text, name, "gauge", value);
    }
    shed_routes(&mut text, node);
    route_costs(&mut text, node);
    text
}

/// What a request of each route costs each service, as its answers told.
fn route_costs(text: &mut String, node: &Node) {
    let _ = writeln!(text, "# TYPE tallybridge_route_cost_milliseconds gauge");
    for ((route, service), cost) in node.route_costs() {
        // Writing to a string can't fail.
        let _ = writeln!(
            text,
            "tallybridge_route_cost_milliseconds{{route={route:?},service={service:?}}} {cost:.1}"
        );
    }
}

/// The share of fresh requests that is let in, of routes of which some are refused.
fn shed_routes(text: &mut String, node: &Node) {
    let _ = writeln!(text, "# TYPE tallybridge_route_admitted_percent gauge");
    for (route, share) in node.shed_routes() {
        let percent = (share * 100.0) as u64;
        // Writing to a string can't fail.
        let _ = writeln!(
            text,
            "tallybridge_route_admitted_percent{{route={route:?}}} {percent}"
        );
    }
}

fn line(text: &mut String, name: &str, kind: &str, value: u64) {
    // Writing to a string can't fail.
    let _ = writeln!(
        text,
        "# TYPE tallybridge_{name} {kind}\ntallybridge_{name} {value}"
    );
}
