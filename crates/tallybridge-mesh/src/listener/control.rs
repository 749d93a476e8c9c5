//! The address for readiness probes and for the heartbeats of the back end.

use std::{sync::Arc, time::Duration};

use crate::{
    http::{Answer, HttpLimits, Request, RequestHandler},
    log::rate_limit::LogRateLimit,
    node::Node,
    platform::{ControlRequest, InstanceReport},
};

/// Largest report, in bytes. Origin not recorded.
const MAX_REPORT_BYTES: usize = 64 * 1024;
/// Time that a connection may be idle between two reports. Origin not recorded.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Answers readiness probes and takes in reports of the back end.
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
            idle_timeout: IDLE_TIMEOUT,
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

/// Answers a report that can't be used; what is known of the back end stays. The log is rate-limited,
/// since anybody may send any number of them.
fn malformed(reason: String) -> Answer {
    static MALFORMED: LogRateLimit = LogRateLimit::new();
    if let Some(left_out) = MALFORMED.admit() {
        tracing::warn!(
            reason,
            left_out,
            "malformed report, the last known state stays"
        );
    }
    Answer::new(400, reason)
}
