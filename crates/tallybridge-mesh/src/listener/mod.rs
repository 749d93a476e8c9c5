//! The addresses at which a node is reached: by callers, by the back end's reports, by other nodes, and for
//! its metrics.

pub mod callers;
pub mod control;
pub mod metrics;
pub mod peers;

use std::time::Duration;

use tokio::net::TcpListener;

use crate::http::{RequestHandler, serve_connection};

/// Wait after an accept that failed, as when descriptors have run out.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// Serves every connection of a listener, each in a task of its own.
pub async fn serve<H: RequestHandler>(handler: H, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, caller)) => {
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
