//! Options of the client.

use std::{net::SocketAddr, time::Duration};

/// How a [`StoreClient`](super::StoreClient) reaches the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreClientOptions {
    /// Addresses of the store, all serving the same data. They are tried in turn, starting with
    /// the one that answered last.
    pub addresses: Vec<SocketAddr>,
    /// Longest time for one request to one address. A watch gets its own wait on top.
    pub request_timeout: Duration,
    /// Longest time to open a connection; part of `request_timeout`.
    pub connect_timeout: Duration,
}

impl StoreClientOptions {
    /// The usual times for these addresses.
    #[must_use]
    pub const fn new(addresses: Vec<SocketAddr>) -> Self {
        Self {
            addresses,
            request_timeout: Duration::from_millis(1_000),
            connect_timeout: Duration::from_millis(300),
        }
    }
}
