//! Serves readiness probes, and heartbeats and deregistrations of the back end.

use std::{future::pending, sync::Arc, time::Duration};

use crate::{
    http::{HttpLimits, Request, RequestHandler, Response},
    log::rate_limit::LogRateLimit,
    node::Node,
    platform::{ControlRequest, InstanceReport},
};

const MAX_REPORT_BYTES: usize = 64 * 1024;
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Answers readiness probes and records reports of the back end.
#[derive(Clone)]
pub struct ControlHandler(pub Arc<Node>);

impl RequestHandler for ControlHandler {
    type Guard = ();

    fn track_request(&self) {}

    fn track_closing_connection(&self) {}

    async fn handle(&self, request: Request) -> Response {
        let node = &self.0;
        match node.platform.control_request(&request.head, &request.body) {
            ControlRequest::Readiness if node.is_ready() => Response::new(200, "ready\n"),
            ControlRequest::Readiness => Response::new(503, "not ready\n"),
            ControlRequest::Report(report) => match self.service_mismatch(&report) {
                Some(reason) => reject_report(reason),
                None => {
                    node.report(&report);
                    Response::new(200, "{}").with_header("Content-Type", "application/json")
                }
            },
            ControlRequest::Malformed(reason) => reject_report(reason),
            ControlRequest::Unknown => Response::new(404, "unknown path\n"),
        }
    }

    fn limits(&self) -> HttpLimits {
        HttpLimits {
            max_body_bytes: MAX_REPORT_BYTES,
            idle_timeout: IDLE_TIMEOUT,
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

impl ControlHandler {
    /// Returns a reason to reject the report if it names another service than the settings.
    fn service_mismatch(&self, report: &InstanceReport) -> Option<String> {
        let expected = &self.0.settings.backend.service;
        let other = report
            .service
            .as_ref()
            .filter(|service| *service != expected)?;
        Some(format!(
            "service {other:?} has no back end beside this node"
        ))
    }
}

/// Rejects a report. Limits the rate of log lines, since any client can send invalid reports.
fn reject_report(reason: String) -> Response {
    static LOG_RATE_LIMIT: LogRateLimit = LogRateLimit::new();
    if let Some(left_out) = LOG_RATE_LIMIT.admit() {
        tracing::warn!(
            reason,
            left_out,
            "invalid report rejected; keeping the last known state of the back end"
        );
    }
    Response::new(400, reason)
}
