//! How a stand-in of the store is started.

use std::net::{Ipv4Addr, SocketAddr};

/// Options of one stand-in of the store.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreOptions {
    /// Address to listen on; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// Requests per second that the store takes for long; `None` for no limit.
    pub requests_per_second: Option<f64>,
    /// Requests that it takes at once after a rest.
    pub burst: u32,
}

impl Default for StoreOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            requests_per_second: None,
            burst: 100,
        }
    }
}
