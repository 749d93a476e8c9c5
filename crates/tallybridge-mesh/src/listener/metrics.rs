//! Serves the node's metrics in the Prometheus text format.

use std::{
    fmt::{Arguments, Write},
    future::pending,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use crate::{
    http::{HttpLimits, Request, RequestHandler, Response},
    memory::MemoryUse,
    node::{Counters, Node},
};

/// Answers every request, whatever its path, with all metrics.
#[derive(Clone)]
pub struct MetricsHandler(pub Arc<Node>);

impl RequestHandler for MetricsHandler {
    type Guard = ();

    fn track_request(&self) {}

    fn track_closing_connection(&self) {}

    async fn handle(&self, _request: Request) -> Response {
        Response::new(200, render_page(&self.0))
            .with_header("Content-Type", "text/plain; version=0.0.4")
    }

    fn limits(&self) -> HttpLimits {
        HttpLimits {
            max_body_bytes: 0,
            ..HttpLimits::default()
        }
    }

    fn is_closing(&self) -> bool {
        false
    }

    async fn idle_close_due(&self) {
        pending().await
    }
}

fn render_page(node: &Node) -> String {
    let mut page = Page::default();
    for (name, value) in counters(&node.counters) {
        page.push_metric(name, "counter", value.load(Ordering::Relaxed));
    }
    if let Some(age) = node.read_age() {
        let age = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        page.push_metric("configuration_read_age_milliseconds", "gauge", age);
    }
    for (name, value) in gauges(node) {
        page.push_metric(name, "gauge", value);
    }
    page.push_memory(node);
    page.push_admitted_percentages(node);
    page.push_route_costs(node);
    page.push_announced_limit(node);
    page.0
}

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

fn gauges(node: &Node) -> [(&'static str, u64); 15] {
    let load = node.load();
    let status = node.status();
    let watch_view = node.watch_view();
    let (known_nodes, open_links) =
        node.with_peers(|peers| (peers.known_size(), peers.links().count()));
    let quarantine = node.quarantine_counts();
    let failing_percent = (load.failure_rate() * 100.0) as u64;
    [
        ("concurrency_limit", load.limit.into()),
        ("calls_in_flight", node.slots.in_flight().into()),
        ("calls_queued", load.queued.into()),
        ("queue_wait_milliseconds", load.wait_ms.into()),
        ("call_milliseconds", load.service_ms.into()),
        ("calls_failing_percent", failing_percent),
        ("configuration_version", status.version),
        ("backend_state", status.backend as u64),
        ("nodes_known", known_nodes as u64),
        ("links_open", open_links as u64),
        ("watches_store", node.is_watcher().into()),
        ("peers_confirming", watch_view.confirming as u64),
        ("requests_suspected", quarantine.suspects as u64),
        (
            "requests_held_back",
            node.quarantined_requests().len() as u64,
        ),
        ("requests_in_flight", node.requests_in_flight() as u64),
    ]
}

#[derive(Default)]
struct Page(String);

impl Page {
    fn push_line(&mut self, line: Arguments<'_>) {
        // Writing to a `String` never fails.
        let _ = writeln!(self.0, "{line}");
    }

    fn push_metric(&mut self, name: &str, kind: &str, value: u64) {
        self.push_line(format_args!("# TYPE tallybridge_{name} {kind}"));
        self.push_line(format_args!("tallybridge_{name} {value}"));
    }

    /// Writes the bytes that requests and answers hold, and what was turned away for lack of memory.
    fn push_memory(&mut self, node: &Node) {
        let memory = &node.memory;
        let name = "memory_held_bytes";
        self.push_line(format_args!("# TYPE tallybridge_{name} gauge"));
        for (label, memory_use) in [
            ("requests", MemoryUse::Request),
            ("answers", MemoryUse::Answer),
        ] {
            let bytes = memory.used_bytes_for(memory_use);
            self.push_line(format_args!(
                "tallybridge_{name}{{use=\"{label}\"}} {bytes}"
            ));
        }
        self.push_metric("memory_limit_bytes", "gauge", memory.limit_bytes() as u64);
        self.push_metric("memory_refusals_total", "counter", memory.failures());
        self.push_metric("memory_evictions_total", "counter", memory.evictions());
        let refused = node.counters.out_of_memory.load(Ordering::Relaxed);
        self.push_metric("refused_out_of_memory_total", "counter", refused);
    }

    /// Writes the calls refused because of the rate limit that the back end announces. While it announces
    /// one, also writes the limit and for how long it has announced one.
    fn push_announced_limit(&mut self, node: &Node) {
        let refused = node.counters.rate_limited.load(Ordering::Relaxed);
        self.push_metric("refused_over_backend_limit_total", "counter", refused);
        let Some((per_second, began_at)) = node.announced_limit() else {
            return;
        };
        let service = &node.settings.backend.service;
        self.push_line(format_args!(
            "# TYPE tallybridge_backend_rate_limit_per_second gauge"
        ));
        self.push_line(format_args!(
            "tallybridge_backend_rate_limit_per_second{{service={service:?}}} {per_second}"
        ));
        let age = u64::try_from(began_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.push_metric("backend_rate_limit_age_milliseconds", "gauge", age);
    }

    /// Writes the percentage of new requests admitted on each route that sheds load.
    fn push_admitted_percentages(&mut self, node: &Node) {
        self.push_line(format_args!(
            "# TYPE tallybridge_route_admitted_percent gauge"
        ));
        for (route, share) in node.shed_routes() {
            let percent = (share * 100.0) as u64;
            self.push_line(format_args!(
                "tallybridge_route_admitted_percent{{route={route:?}}} {percent}"
            ));
        }
    }

    /// Writes the estimated slot time that one request of a route uses at each service.
    fn push_route_costs(&mut self, node: &Node) {
        self.push_line(format_args!(
            "# TYPE tallybridge_route_cost_milliseconds gauge"
        ));
        for ((route, service), cost) in node.route_costs() {
            self.push_line(format_args!(
                "tallybridge_route_cost_milliseconds{{route={route:?},service={service:?}}} {cost:.1}"
            ));
        }
    }
}
