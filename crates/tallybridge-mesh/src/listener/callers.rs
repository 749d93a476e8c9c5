//! Serves requests of callers and nested calls of the back end beside the node.

use std::sync::Arc;

use crate::{
    http::{HttpLimits, Request, RequestHandler, Response},
    in_flight::InFlight,
    node::Node,
    request::entry,
};

/// Passes each request to [`entry::handle`] and applies the HTTP limits of the configuration.
#[derive(Clone)]
pub struct CallerHandler(pub Arc<Node>);

impl RequestHandler for CallerHandler {
    type Guard = InFlight;

    fn track_request(&self) -> InFlight {
        self.0.track_request()
    }

    fn track_closing_connection(&self) -> InFlight {
        self.0.track_closing_connection()
    }

    async fn handle(&self, request: Request) -> Response {
        entry::handle(&self.0, request).await
    }

    fn refuse_for_memory(&self) -> Response {
        entry::refuse_for_memory(&self.0)
    }

    fn limits(&self) -> HttpLimits {
        self.0
            .configuration()
            .map_or_else(HttpLimits::default, |configuration| configuration.limits)
    }

    fn is_closing(&self) -> bool {
        self.0.is_stopping()
    }

    async fn idle_close_due(&self) {
        self.0.work_refused().await;
    }
}
