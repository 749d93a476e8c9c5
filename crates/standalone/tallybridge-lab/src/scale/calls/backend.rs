//! Back ends that do nothing but wait.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures::{FutureExt, future::BoxFuture};
use tallybridge_node::{
    connections::backend::{BackendAnswer, BackendClient, BackendFailure, BackendRequest},
    path::WholeAnswer,
};
use tallybridge_wire::WireHeaders;
use tokio::net::TcpListener;
use warp::Filter;

/// Body of a request and of an answer, in bytes.
pub const BODY_BYTES: usize = 100;

/// Serves a back end over HTTP that answers after a time, and gives its address.
pub async fn serve(latency: Duration) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let address = listener.local_addr()?;
    let route = warp::any()
        .and(warp::body::bytes())
        .then(move |_body: Bytes| async move {
            tokio::time::sleep(latency).await;
            warp::http::Response::new(vec![b'a'; BODY_BYTES])
        });
    tokio::spawn(warp::serve(route).incoming(listener).run());
    Ok(address)
}

/// A back end within the process that answers after a time.
pub struct WaitingBackend(pub Duration);

impl BackendClient for WaitingBackend {
    fn call(
        &self,
        _request: BackendRequest,
    ) -> BoxFuture<'_, Result<BackendAnswer, BackendFailure>> {
        async move {
            tokio::time::sleep(self.0).await;
            Ok(BackendAnswer {
                answer: WholeAnswer {
                    status: 200,
                    headers: WireHeaders::default(),
                    body: Bytes::from_static(&[b'a'; BODY_BYTES]),
                },
                refused_unrun: false,
                draining: false,
            })
        }
        .boxed()
    }
}
