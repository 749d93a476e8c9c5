//! Health checks of the back end beside this node, by which a new instance is verified before it gets work.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use tokio::time::{Instant, timeout};

use crate::{
    http::{Connection, client::connect},
    node::Node,
    tables::InstanceState,
};

/// Longest wait for a health check, which waits for a slot as a request does.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(1500);
/// Wait between health checks while the back end says that it takes no work.
const RETRY_UNHEALTHY: Duration = Duration::from_millis(700);
/// Wait between health checks while the back end does not answer at all.
const RETRY_SILENT: Duration = Duration::from_millis(250);

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
