//! What a listener hands to the code that answers it: complete requests, and the bounds on them.

use std::{future::Future, net::SocketAddr, time::Duration};

use bytes::Bytes;

use crate::{
    clock::BootInstant,
    http::{Answer, RequestHead},
};

/// What answers the requests of a listener.
pub trait RequestHandler: Clone + Send + Sync + 'static {
    /// Answers one request. The future is dropped when the caller closes its connection.
    fn handle(&self, request: Request) -> impl Future<Output = Answer> + Send;

    /// The bounds in force.
    fn limits(&self) -> HttpLimits;

    /// Whether connections are to be closed with the next answer.
    fn is_closing(&self) -> bool;
}

/// A complete request.
#[derive(Debug)]
pub struct Request {
    /// Its head.
    pub head: RequestHead,
    /// Its complete body.
    pub body: Bytes,
    /// When its last byte was read.
    pub arrived: BootInstant,
    /// The caller's address.
    pub caller: SocketAddr,
}

/// Bounds of what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HttpLimits {
    /// Largest head, in bytes.
    pub max_header_bytes: usize,
    /// Largest body, in bytes.
    pub max_body_bytes: usize,
    /// Time from the first byte of a request to the end of its head.
    pub header_timeout: Duration,
    /// Time that a connection may be idle between requests, or between pieces of a body.
    pub idle_timeout: Duration,
}

impl Default for HttpLimits {
    /// The bounds that a configuration leaves open: 16 KiB of head, 64 MiB of body, 3 s for a head,
    /// 15 s idle. Origin not recorded.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 64 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
