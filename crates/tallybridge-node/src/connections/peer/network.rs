//! How a link gets its byte stream: TCP, or in memory for many nodes in one process.

use std::{io, net::SocketAddr};

use futures::{FutureExt, future::BoxFuture};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
};

/// A byte stream to a peer.
pub trait PeerStream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> PeerStream for T {}

/// Opens byte streams to peers.
pub trait Network: Send + Sync {
    /// Opens a stream to the peer at an address.
    fn connect(&self, address: SocketAddr) -> BoxFuture<'_, io::Result<Box<dyn PeerStream>>>;
}

/// TCP.
#[derive(Debug, Clone, Copy, Default)]
pub struct TcpNetwork;

impl Network for TcpNetwork {
    fn connect(&self, address: SocketAddr) -> BoxFuture<'_, io::Result<Box<dyn PeerStream>>> {
        async move {
            let stream = TcpStream::connect(address).await?;
            // Small messages must not wait for the acknowledgement of the ones before.
            stream.set_nodelay(true)?;
            Ok(Box::new(stream) as Box<dyn PeerStream>)
        }
        .boxed()
    }
}
