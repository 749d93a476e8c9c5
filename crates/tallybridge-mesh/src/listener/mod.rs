//! The addresses at which a node is reached: by callers ([`callers`]), by the back end's reports and
//! readiness probes ([`control`]), by other nodes ([`peers`]), and for its metrics ([`metrics`]).
//!
//! The topmost layer: it reads what comes and passes it down to `request` and `node`.

pub mod callers;
pub mod control;
pub mod metrics;
pub mod peers;

use std::time::Duration;

use tokio::net::TcpListener;

use crate::http::{RequestHandler, serve_connection};

/// Wait after an accept that failed, as when descriptors have run out. Origin not recorded.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// Serves every HTTP connection of a listener, each in a task of its own.
pub async fn serve<H: RequestHandler>(handler: H, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, caller)) => {
                // Without it answers may be delayed, but they come.
                let _ = stream.set_nodelay(true);
                tokio::spawn(serve_connection(handler.clone(), stream, caller));
            }
            Err(error) => {
                tracing::warn!(%error, "a connection can't be accepted");
                tokio::time::sleep(ACCEPT_RETRY).await;
            }
        }
    }
}
