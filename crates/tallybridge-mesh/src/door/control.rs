//! Where readiness is asked for and the back end reports itself.

use std::{sync::Arc, time::Duration};

use tokio::time::{Instant, timeout};

use crate::{
    http::{Answer, Connection, HttpLimits, Request, RequestHandler, client::connect},
    log_limit::LogLimit,
    node::Node,
    seam::{ControlRequest, InstanceReport},
    tables::InstanceState,
};

/// Largest report, in bytes.
const MAX_REPORT_BYTES: usize = 64 * 1024;
/// Longest wait for a health check, which waits for a slot as a request does.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(1500);
/// Wait between health checks while the back end says that it takes no work.
const RETRY_UNHEALTHY: Duration = Duration::from_millis(700);
/// Wait between health checks while the back end does not answer at all.
const RETRY_SILENT: Duration = Duration::from_millis(250);

/// Answers questions about readiness and reports of the back end.
#[derive(Clone)]
pub struct ControlHandler(pub Arc<Node>);

impl RequestHandler for ControlHandler {
    async fn handle(&self, request: Request) -> Answer {
        let node = &self.0;
        match node.platform.control_request(&request.head, &request.body) {
            ControlRequest::Readiness if node.is_ready() => Answer::new(200, "ready\n"),
            ControlRequest::Readiness => Answer::new(503, "not ready\n"),
            ControlRequest::Report(report) => match self.of_other_service(&report) {
                Some(reason) => malformed(reason),
                None => {
                    node.report(&report);
                    Answer::new(200, "{}").with_header("Content-Type", "application/json")
                }
            },
            ControlRequest::Malformed(reason) => malformed(reason),
            ControlRequest::Unknown => Answer::new(404, "unknown path\n"),
        }
    }

    fn limits(&self) -> HttpLimits {
        HttpLimits {
            max_body_bytes: MAX_REPORT_BYTES,
            idle_timeout: Duration::from_secs(60),
            ..HttpLimits::default()
        }
    }

    fn is_closing(&self) -> bool {
        false
    }
}

impl ControlHandler {
    /// Why a report names no back end to use here: it is of another service.
    fn of_other_service(&self, report: &InstanceReport) -> Option<String> {
        let own = &self.0.settings.backend.service;
        let other = report.service.as_ref().filter(|service| *service != own)?;
        Some(format!(
            "service {other:?} has no back end beside this node"
        ))
    }
}

/// Answers a report that names no back end to use. Others may send any number of them.
fn malformed(reason: String) -> Answer {
    static MALFORMED: LogLimit = LogLimit::new();
    if let Some(left_out) = MALFORMED.line() {
        tracing::warn!(reason, left_out, "malformed report, the last belief stays");
    }
    Answer::new(400, reason)
}

/// Asks the back end who it is, whenever that must be known before it gets work.
pub async fn verify_instance(node: Arc<Node>) {
    loop {
        node.verification_due().await;
        while let Some(wait) = verify_once(&node).await {
            tokio::time::sleep(wait).await;
        }
    }
}

/// One health check; gives the wait until it is to be repeated.
async fn verify_once(node: &Arc<Node>) -> Option<Duration> {
    // Without a configuration, or without the service in it, the next configuration wakes the task.
    let configuration = node.configuration()?;
    let service = node.settings.backend.service.as_str();
    let policy = configuration.services.get(service)?;
    let checked = health_check(node, &policy.health_path).await;
    let wait = match checked {
        Some((instance, is_healthy)) => {
            node.instance_verified(&instance, is_healthy);
            if is_healthy {
                return None;
            }
            RETRY_UNHEALTHY
        }
        None => RETRY_SILENT,
    };
    (node.instance_state() != InstanceState::Leaving).then_some(wait)
}

async fn health_check(node: &Node, path: &str) -> Option<(String, bool)> {
    use std::sync::atomic::Ordering;
    node.counters.health_checks.fetch_add(1, Ordering::Relaxed);
    let address = node.settings.backend.address;
    let started = Instant::now();
    let checking = async {
        let stream = connect(address, HEALTH_TIMEOUT, HEALTH_TIMEOUT)
            .await
            .ok()?;
        let request =
            format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
        let mut connection = Connection::new(stream);
        let received = connection.exchange(request.as_bytes(), b"", false).await;
        received.ok()
    };
    let received = timeout(HEALTH_TIMEOUT, checking).await.ok().flatten();
    let Some(received) = received else {
        tracing::debug!(elapsed = ?started.elapsed(), "no answer to a health check");
        return None;
    };
    let instance = received.head.headers.text(node.names.instance)?;
    Some((instance.to_owned(), received.head.status == 200))
}
