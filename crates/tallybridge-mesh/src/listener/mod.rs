//! The servers of a node: for callers ([`callers`]), for readiness probes and reports of the back end
//! ([`control`]), for links from other nodes ([`peers`]), and for metrics ([`metrics`]).
//!
//! This is the topmost layer. It decodes incoming requests and passes them to `request` and `node`.

pub mod callers;
pub mod control;
pub mod metrics;
pub mod peers;

use std::time::Duration;

use tokio::net::TcpListener;

use crate::{
    http::{RequestHandler, serve_connection},
    log::rate_limit::LogRateLimit,
    memory::ListenerClients,
};

/// Avoids a busy loop while accepting fails, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Serves the HTTP connections of a listener, each in its own task. Never returns.
pub async fn serve<H: RequestHandler>(handler: H, listener: TcpListener, clients: ListenerClients) {
    loop {
        match listener.accept().await {
            Ok((stream, caller)) => {
                let Some(client) = clients.admit() else {
                    log_connection_refused();
                    continue;
                };
                // A failure only delays answers.
                let _ = stream.set_nodelay(true);
                tokio::spawn(serve_connection(handler.clone(), stream, caller, client));
            }
            Err(error) => {
                tracing::warn!(%error, "failed to accept a connection; retrying");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Logs that a new connection was closed because the listener has as many as it may, all with running requests.
fn log_connection_refused() {
    static LOG_RATE_LIMIT: LogRateLimit = LogRateLimit::new();
    if let Some(left_out) = LOG_RATE_LIMIT.admit() {
        tracing::warn!(
            left_out,
            "too many connections have running requests; closing a new one"
        );
    }
}
