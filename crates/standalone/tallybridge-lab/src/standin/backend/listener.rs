//! Takes connections: each costs time, and above the limit they are closed at once.

use std::{sync::Arc, time::Duration};

use hyper_util::{
    rt::{TokioExecutor, TokioIo},
    server::conn::auto,
    service::TowerToHyperService,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
};
use warp::{Filter, Reply};

/// Pause after a failed accept, such as when no file descriptor is left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// How a back end takes connections.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    /// Connections open at once.
    pub connections: usize,
    /// What accepting one costs.
    pub cost: Duration,
}

/// Serves a filter on a listener for ever.
pub async fn serve<F>(listener: TcpListener, limits: ConnectionLimits, filter: F)
where
    F: Filter<Error = std::convert::Infallible> + Clone + Send + Sync + 'static,
    F::Extract: Reply,
{
    let open = Arc::new(Semaphore::new(limits.connections));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, "accept failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Ok(permit) = Arc::clone(&open).try_acquire_owned() else {
            continue;
        };
        tokio::time::sleep(limits.cost).await;
        let filter = filter.clone();
        tokio::spawn(async move {
            serve_connection(stream, filter).await;
            drop(permit);
        });
    }
}

async fn serve_connection<F>(stream: TcpStream, filter: F)
where
    F: Filter<Error = std::convert::Infallible> + Clone + Send + Sync + 'static,
    F::Extract: Reply,
{
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "can't turn off Nagle's algorithm");
    }
    let service = TowerToHyperService::new(warp::service(filter));
    let served = auto::Builder::new(TokioExecutor::new())
        .http1_only()
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        tracing::debug!(error, "connection ended early");
    }
}
