//! Serves requests of callers and nested calls of the back end beside the node.

use std::sync::Arc;

use crate::{
    http::{HttpLimits, Request, RequestHandler, Response},
    node::Node,
    request::entry,
};

/// Passes each request to [`entry::handle`] and applies the HTTP limits of the configuration.
#[derive(Clone)]
pub struct CallerHandler(pub Arc<Node>);

impl RequestHandler for CallerHandler {
    async fn handle(&self, request: Request) -> Response {
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
