//! Tells a back end that closed a connection itself from one whose process ended.
//!
//! An answer without a length ends with its connection, and the system closes the connections of a
//! process that ends as the process would. The answer is whole only if the back end answers something
//! that was sent after the close. That the back end accepts a connection does not show it: the system
//! accepts connections until it has closed the listener of the ended process too.

use std::{sync::atomic::Ordering, time::Duration};

use tokio::time::timeout;

use crate::{http::ExchangeError, node::Node};

/// Timeout of all health checks of one confirmation. The call still holds its slot, so a health check does
/// not wait for one.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(1500);
/// A back end at its connection limit closes new connections, so one that is closed does not show that the
/// back end has ended.
const MAX_HEALTH_CHECKS: usize = 3;

/// Confirms by a health check on a new connection that the back end `instance` runs after it closed a
/// connection. The health check may have any result.
///
/// # Errors
///
/// Returns an [`ExchangeError`] if the back end cannot be reached, does not answer or is
/// another instance.
pub(super) async fn confirm_still_running(
    node: &Node,
    instance: &str,
) -> Result<(), ExchangeError> {
    let confirmed = timeout(CONFIRMATION_TIMEOUT, check_until_answered(node, instance)).await;
    let confirmed = confirmed.unwrap_or_else(|_| {
        Err(ExchangeError::aborted(
            "no answer to a health check before the timeout",
        ))
    });
    confirmed.map_err(|error| {
        tracing::debug!(
            %error,
            "back end did not answer a health check after an answer without a length; treating the \
             answer as incomplete"
        );
        ExchangeError::aborted("back end may have ended within an answer without a length")
    })
}

async fn check_until_answered(node: &Node, instance: &str) -> Result<(), ExchangeError> {
    let request = health_check(node)?;
    let mut result = Ok(());
    for _ in 0..MAX_HEALTH_CHECKS {
        let opened = node.backend.open().await;
        let mut connection = opened
            .inspect_err(|_| node.instance_unreachable())?
            .connection;
        node.counters.connections.fetch_add(1, Ordering::Relaxed);
        node.counters.health_checks.fetch_add(1, Ordering::Relaxed);
        let answered = connection.exchange(request.as_bytes(), b"", false).await;
        result = answered.and_then(|received| {
            // An answer that refuses the health check may name no instance.
            let answered_by = received.head.headers.text(node.header_names.instance);
            if answered_by.is_some_and(|other| other != instance) {
                return Err(ExchangeError::aborted(
                    "the answer to the health check is that of another instance",
                ));
            }
            node.backend.check_in(connection, &received);
            Ok(())
        });
        if result.is_ok() {
            node.instance_reached();
            break;
        }
    }
    result
}

/// Returns a health check that leaves the connection open.
fn health_check(node: &Node) -> Result<String, ExchangeError> {
    let configuration = node.configuration();
    let service = configuration
        .as_ref()
        .and_then(|configuration| configuration.services.get(&*node.settings.backend.service));
    let Some(service) = service else {
        return Err(ExchangeError::aborted(
            "the configuration no longer names the service",
        ));
    };
    let path = &service.health_path;
    let address = node.settings.backend.address;
    Ok(format!("GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n"))
}
