//! The node's own figures in the text format of Prometheus.

use std::{
    fmt::{Arguments, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use crate::{
    http::{Answer, HttpLimits, Request, RequestHandler},
    node::{Counters, Node},
};

/// Answers each request with all figures.
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
    let mut page = Page::default();
    for (name, value) in counters(&node.counters) {
        page.figure(name, "counter", value.load(Ordering::Relaxed));
    }
    if let Some(age) = node.read_age() {
        let age = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        page.figure("configuration_read_age_milliseconds", "gauge", age);
    }
    for (name, value) in gauges(node) {
        page.figure(name, "gauge", value);
    }
    page.admitted_shares(node);
    page.route_costs(node);
    page.0
}

/// Counts since the process began.
fn counters(counters: &Counters) -> [(&'static str, &AtomicU64); 14] {
    [
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
    ]
}

/// What holds at this moment.
fn gauges(node: &Node) -> [(&'static str, u64); 15] {
    let load = node.load();
    let status = node.status();
    let watch_view = node.watch_view();
    let (known, links) = node.with_peers(|peers| (peers.known_size(), peers.links().count()));
    let quarantine = node.quarantine_counts();
    let failing_percent = (load.failure_rate() * 100.0) as u64;
    [
        ("concurrency_limit", load.limit.into()),
        ("calls_in_flight", load.in_flight.into()),
        ("calls_queued", load.queued.into()),
        ("queue_wait_milliseconds", load.wait_ms.into()),
        ("call_milliseconds", load.service_ms.into()),
        ("calls_failing_percent", failing_percent),
        ("configuration_version", status.version),
        ("backend_state", status.backend as u64),
        ("nodes_known", known as u64),
        ("links_open", links as u64),
        ("watches_store", node.is_watcher().into()),
        ("peers_confirming", watch_view.confirming as u64),
        ("requests_suspected", quarantine.suspects as u64),
        ("requests_held_back", quarantine.quarantined as u64),
        ("requests_in_flight", node.requests_in_flight() as u64),
    ]
}

/// The text so far.
#[derive(Default)]
struct Page(String);

impl Page {
    fn line(&mut self, line: Arguments<'_>) {
        // Writing to a string can't fail.
        let _ = writeln!(self.0, "{line}");
    }

    fn figure(&mut self, name: &str, kind: &str, value: u64) {
        self.line(format_args!("# TYPE tallybridge_{name} {kind}"));
        self.line(format_args!("tallybridge_{name} {value}"));
    }

    /// The share of fresh requests that is admitted, of routes of which some are refused.
    fn admitted_shares(&mut self, node: &Node) {
        self.line(format_args!(
            "# TYPE tallybridge_route_admitted_percent gauge"
        ));
        for (route, share) in node.shed_routes() {
            let percent = (share * 100.0) as u64;
            self.line(format_args!(
                "tallybridge_route_admitted_percent{{route={route:?}}} {percent}"
            ));
        }
    }

    /// Slot time that a request of each route takes of each service, as learned from answers.
    fn route_costs(&mut self, node: &Node) {
        self.line(format_args!(
            "# TYPE tallybridge_route_cost_milliseconds gauge"
        ));
        for ((route, service), cost) in node.route_costs() {
            self.line(format_args!(
                "tallybridge_route_cost_milliseconds{{route={route:?},service={service:?}}} {cost:.1}"
            ));
        }
    }
}
