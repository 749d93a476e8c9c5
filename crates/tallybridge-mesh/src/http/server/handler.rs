//! Interface between the HTTP server and the code that handles requests.

use std::{future::Future, net::SocketAddr, time::Duration};

use bytes::Bytes;

use crate::{
    clock::BootInstant,
    http::{RequestHead, Response},
};

/// Handles the requests that a listener receives.
pub trait RequestHandler: Clone + Send + Sync + 'static {
    /// Counts a request or a connection until it is dropped.
    type Guard: Send + Sync + 'static;

    /// Counts a request that has been read completely. The server holds the guard until the response is
    /// written completely or the connection fails.
    fn track_request(&self) -> Self::Guard;

    /// Counts a connection whose last response has been written but may not have arrived. The server holds
    /// the guard until the caller closes the connection or a timeout expires.
    fn track_closing_connection(&self) -> Self::Guard;

    /// Returns the response to one request. The server drops the future when the caller closes its
    /// connection.
    fn handle(&self, request: Request) -> impl Future<Output = Response> + Send;

    /// Returns the response to a request that was not read completely because the node has no memory for it. It
    /// has not run, so its caller may send it again.
    fn refuse_for_memory(&self) -> Response {
        Response::new(503, Bytes::new()).with_header("Retry-After", "1")
    }

    /// Returns the current limits. The server reads the limits again for each request.
    fn limits(&self) -> HttpLimits;

    /// Returns `true` if the server must close each connection after its last pending response.
    fn is_closing(&self) -> bool;

    /// Waits until the server must also close connections without pending responses.
    fn idle_close_due(&self) -> impl Future<Output = ()> + Send;
}

/// A complete request as received from a caller.
#[derive(Debug)]
pub struct Request {
    /// Request line and header lines.
    pub head: RequestHead,
    /// Complete body, without its transfer coding.
    pub body: Bytes,
    /// Time at which the last byte of the request was read.
    pub arrived: BootInstant,
    /// Remote address of the connection.
    pub caller: SocketAddr,
}

/// Limits on the size and timing of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HttpLimits {
    /// Size limit for the request line and header lines together.
    pub max_header_bytes: usize,
    /// Size limit for the body without its transfer coding.
    pub max_body_bytes: usize,
    /// Time from the first byte of a request to the end of its head.
    pub header_timeout: Duration,
    /// Longest pause between requests, or between two reads of a body.
    pub idle_timeout: Duration,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 64 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
