//! Where callers, and the back end with its nested calls, send requests to.

use std::{sync::Arc, time::Duration};

use tokio::net::TcpListener;

use crate::{
    http::{Answer, HttpLimits, Request, RequestHandler, serve_connection},
    node::Node,
    path::entry,
};

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

/// Answers callers.
#[derive(Clone)]
pub struct CallerHandler(pub Arc<Node>);

impl RequestHandler for CallerHandler {
    async fn handle(&self, request: Request) -> Answer {
        entry::handle(&self.0, request).await
    }

    fn limits(&self) -> HttpLimits {
        self.0
            .configuration()
            .map_or_else(HttpLimits::default, |configuration| configuration.limits)
    }

    fn is_closing(&self) -> bool {
        self.0.is_stopping()
    }
}
