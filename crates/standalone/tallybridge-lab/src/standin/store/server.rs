//! The running stand-in.

use std::{net::SocketAddr, sync::Arc};

use tokio::net::TcpListener;
use tokio_util::sync::{CancellationToken, DropGuard};

use super::{
    counts::RequestCounts, fault::FaultOrder, options::StoreOptions, routes::routes,
    shared::Shared, table::Entry,
};

/// A stand-in of the store that runs until it is dropped.
#[derive(Debug)]
pub struct StoreStandin {
    address: SocketAddr,
    shared: Arc<Shared>,
    _stop: DropGuard,
}

impl StoreStandin {
    /// Starts a stand-in on the current tokio runtime.
    ///
    /// # Errors
    ///
    /// When the address can't be listened on.
    pub async fn serve(options: StoreOptions) -> std::io::Result<Self> {
        let listener = TcpListener::bind(options.listen).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::new(&options));
        let stop = CancellationToken::new();
        let server = warp::serve(routes(Arc::clone(&shared)))
            .incoming(listener)
            .graceful(stop.clone().cancelled_owned())
            .run();
        tokio::spawn(server);
        Ok(Self {
            address,
            shared,
            _stop: stop.drop_guard(),
        })
    }

    /// The address it listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets faults, as `POST /fault` does.
    pub fn fault(&self, order: &FaultOrder) {
        self.shared.set_fault(order);
    }

    /// The counts of requests so far, as `GET /requests` gives them.
    #[must_use]
    pub fn requests(&self) -> RequestCounts {
        self.shared.requests()
    }

    /// Requests so far that name a key or watch exactly it as a prefix.
    #[must_use]
    pub fn requests_for(&self, key: &str) -> u64 {
        self.shared.requests_for(key)
    }

    /// The entries below a prefix as the store holds them, past all limits and faults.
    #[must_use]
    pub fn entries(&self, prefix: &str) -> Vec<Entry> {
        self.shared.entries(prefix)
    }

    /// Does all late writes now, as if enough requests had come in.
    pub fn release_late_writes(&self) {
        self.shared.release_late_writes();
    }
}
