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

use crate::http::{RequestHandler, serve_connection};

/// Avoids a busy loop while accepting fails, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Serves the HTTP connections of a listener, each in its own task. Never returns.
pub async fn serve<H: RequestHandler>(handler: H, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, caller)) => {
                // A failure only delays answers.
                let _ = stream.set_nodelay(true);
                tokio::spawn(serve_connection(handler.clone(), stream, caller));
            }
            Err(error) => {
                tracing::warn!(%error, "failed to accept a connection; retrying");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
