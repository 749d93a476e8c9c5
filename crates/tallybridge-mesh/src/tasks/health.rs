//! Health checks of the back end beside this node, by which it is verified before it gets work.
//!
//! **Rule.** A check is made whenever the node asks for one: when a configuration comes into force, when a
//! back end has reported that is not verified yet, and when another instance answered a call. It is
//! repeated until the back end answers that it is healthy, or has said that it leaves.
//!
//! **Why.** Reports may be late, out of order or of another start; an answer is the back end's own.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use tokio::time::{Instant, timeout};

use crate::{
    http::{Connection, ExchangeError, connect},
    node::Node,
    tables::InstanceState,
};

/// Longest wait for a health check, which waits for a slot of the back end as a request does. Origin of
/// the figure not recorded.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(1500);
/// Wait between health checks while the back end answers that it takes no work. Origin of the figure not
/// recorded.
const RETRY_UNHEALTHY: Duration = Duration::from_millis(700);
/// Wait between health checks while the back end does not answer at all. Origin of the figure not
/// recorded.
const RETRY_SILENT: Duration = Duration::from_millis(250);

/// Asks the back end who it is, whenever that must be known before it gets work. Never returns.
pub async fn verify_instance(node: Arc<Node>) {
    loop {
        node.verification_due().await;
        while let Some(wait) = verify_once(&node).await {
            tokio::time::sleep(wait).await;
        }
    }
}

/// What a back end answered to a health check.
struct HealthAnswer {
    instance: String,
    is_healthy: bool,
}

/// Makes one health check; returns the wait until it is to be repeated, if it is.
async fn verify_once(node: &Arc<Node>) -> Option<Duration> {
    // Without a configuration, or without the service in it, the next configuration wakes the task.
    let configuration = node.configuration()?;
    let service = node.settings.backend.service.as_str();
    let policy = configuration.services.get(service)?;
    let started = Instant::now();
    let wait = match health_check(node, &policy.health_path).await {
        Ok(answer) => {
            node.instance_verified(&answer.instance, answer.is_healthy);
            if answer.is_healthy {
                return None;
            }
            RETRY_UNHEALTHY
        }
        Err(error) => {
            tracing::debug!(elapsed = ?started.elapsed(), %error, "no answer to a health check");
            RETRY_SILENT
        }
    };
    (node.instance_state() != InstanceState::Leaving).then_some(wait)
}

async fn health_check(node: &Node, path: &str) -> Result<HealthAnswer, ExchangeError> {
    node.counters.health_checks.fetch_add(1, Ordering::Relaxed);
    let checked = timeout(HEALTH_TIMEOUT, ask_health(node, path)).await;
    checked.unwrap_or_else(|_| Err(ExchangeError::given_up("no answer in time")))
}

async fn ask_health(node: &Node, path: &str) -> Result<HealthAnswer, ExchangeError> {
    let address = node.settings.backend.address;
    let stream = connect(address, HEALTH_TIMEOUT, HEALTH_TIMEOUT).await;
    let mut connection = Connection::new(stream.map_err(ExchangeError::not_sent)?);
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    let received = connection.exchange(request.as_bytes(), b"", false).await?;
    let Some(instance) = received.head.headers.text(node.header_names.instance) else {
        return Err(ExchangeError::given_up("the answer names no instance"));
    };
    Ok(HealthAnswer {
        instance: instance.to_owned(),
        is_healthy: received.head.status == 200,
    })
}
