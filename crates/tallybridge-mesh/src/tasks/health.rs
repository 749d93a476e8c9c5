//! Health checks, which verify the back end beside this node before it receives work.
//!
//! A check runs when a configuration comes into force, when an unverified back end reports, and when
//! a call is answered by another instance. It repeats until the back end is healthy or leaving.
//! Reports do not verify a back end, because they may be late, reordered or from another
//! incarnation. A health check does not verify a back end that has not reported either, because its
//! answer names no service; the next check then waits for a report.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use tokio::time::{Instant, timeout};

use crate::{
    http::{Connection, ExchangeError, ResponseLimits, connect},
    node::Node,
    tables::{Announcement, HealthCheckEffect, InstanceState},
};

/// Timeout of a health check. It includes the wait for a slot, because the back end queues health
/// checks together with requests.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(1500);
const MAX_HEALTH_BODY_BYTES: usize = 64 * 1024;
/// Wait after a health check that the back end answered as unhealthy.
const UNHEALTHY_RETRY_WAIT: Duration = Duration::from_millis(700);
/// Wait after a health check without a valid answer.
const NO_ANSWER_RETRY_WAIT: Duration = Duration::from_millis(250);

/// Runs health checks whenever the back end must be verified. Never returns.
pub async fn verify_instance(node: Arc<Node>) {
    loop {
        node.verification_due().await;
        while let Some(wait) = verify_once(&node).await {
            tokio::time::sleep(wait).await;
        }
    }
}

struct HealthAnswer {
    instance: String,
    is_healthy: bool,
    announcement: Announcement,
}

/// Runs one health check. Returns the wait before the next one, or `None` if none is needed.
async fn verify_once(node: &Arc<Node>) -> Option<Duration> {
    // Without a configuration, or without the service in it, the next configuration wakes the task.
    let configuration = node.configuration()?;
    if !node.has_back_end_reports() {
        return None;
    }
    let service = node.settings.backend.service.as_str();
    let policy = configuration.services.get(service)?;
    let started_at = Instant::now();
    let wait = match check_health(node, &policy.health_path).await {
        Ok(answer) => {
            let effect = node.instance_verified(&answer.instance, answer.is_healthy);
            node.record_health_announcement(&answer.instance, &answer.announcement);
            if answer.is_healthy || effect == HealthCheckEffect::Unreported {
                return None;
            }
            UNHEALTHY_RETRY_WAIT
        }
        Err(error) => {
            tracing::debug!(elapsed = ?started_at.elapsed(), %error, "health check got no valid answer");
            NO_ANSWER_RETRY_WAIT
        }
    };
    (node.instance_state() != InstanceState::Leaving).then_some(wait)
}

async fn check_health(node: &Node, path: &str) -> Result<HealthAnswer, ExchangeError> {
    node.counters.health_checks.fetch_add(1, Ordering::Relaxed);
    let result = timeout(HEALTH_TIMEOUT, request_health(node, path)).await;
    result.unwrap_or_else(|_| Err(ExchangeError::aborted("the health check timed out")))
}

async fn request_health(node: &Node, path: &str) -> Result<HealthAnswer, ExchangeError> {
    let address = node.settings.backend.address;
    let stream = connect(address, HEALTH_TIMEOUT, HEALTH_TIMEOUT).await;
    let limits = ResponseLimits {
        max_body_bytes: MAX_HEALTH_BODY_BYTES,
        budget: None,
    };
    let stream = stream.map_err(ExchangeError::not_sent)?;
    let mut connection = Connection::with_limits(stream, limits);
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    let response = connection.exchange(request.as_bytes(), b"", false).await?;
    let Some(instance) = response.head.headers.text(node.header_names.instance) else {
        return Err(ExchangeError::aborted("the answer has no instance header"));
    };
    Ok(HealthAnswer {
        instance: instance.to_owned(),
        is_healthy: response.head.status == 200,
        announcement: Announcement::from_headers(&response.head.headers, &node.header_names),
    })
}
