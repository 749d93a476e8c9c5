//! Options of the store client.

use std::{net::SocketAddr, time::Duration};

/// Addresses and timeouts of a [`StoreClient`](super::StoreClient).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreClientOptions {
    /// Addresses of the store, which all serve the same data. The client tries them in turn and
    /// starts with the one that responded last.
    pub addresses: Vec<SocketAddr>,
    /// Timeout of one request to one address. A watch adds its own wait.
    pub request_timeout: Duration,
    /// Timeout for opening a connection, included in `request_timeout`.
    pub connect_timeout: Duration,
}

impl StoreClientOptions {
    /// Creates options with the default timeouts.
    #[must_use]
    pub const fn new(addresses: Vec<SocketAddr>) -> Self {
        Self {
            addresses,
            request_timeout: Duration::from_millis(1_000),
            connect_timeout: Duration::from_millis(300),
        }
    }
}
