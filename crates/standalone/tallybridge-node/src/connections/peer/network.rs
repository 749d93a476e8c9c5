//! How nodes reach each other: sockets, or in memory for many nodes in one process.

use std::{io, net::SocketAddr, sync::Arc};

use futures::{FutureExt, future::BoxFuture};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::{TcpListener, TcpStream, UdpSocket},
};

/// A byte stream to a peer.
pub trait PeerStream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> PeerStream for T {}

/// Accepts byte streams from peers.
pub trait PeerListener: Send + Sync {
    /// The next stream that a peer opens.
    fn accept(&self) -> BoxFuture<'_, io::Result<Box<dyn PeerStream>>>;
}

/// Exchanges datagrams with peers.
pub trait DatagramSocket: Send + Sync {
    /// Sends one datagram; it may be lost.
    fn send_to<'a>(&'a self, bytes: &'a [u8], to: SocketAddr) -> BoxFuture<'a, io::Result<()>>;

    /// The next datagram: its length in the buffer and where it came from.
    fn receive_from<'a>(
        &'a self,
        buffer: &'a mut [u8],
    ) -> BoxFuture<'a, io::Result<(usize, SocketAddr)>>;
}

/// Opens the ways between nodes.
pub trait Network: Send + Sync {
    /// Opens a stream to the peer at an address.
    fn connect(&self, address: SocketAddr) -> BoxFuture<'_, io::Result<Box<dyn PeerStream>>>;

    /// Listens for streams at an address.
    fn listen(&self, address: SocketAddr) -> BoxFuture<'_, io::Result<Arc<dyn PeerListener>>>;

    /// Takes datagrams at an address.
    fn bind_datagrams(
        &self,
        address: SocketAddr,
    ) -> BoxFuture<'_, io::Result<Arc<dyn DatagramSocket>>>;
}

/// TCP and UDP.
#[derive(Debug, Clone, Copy, Default)]
pub struct SocketNetwork;

impl Network for SocketNetwork {
    fn connect(&self, address: SocketAddr) -> BoxFuture<'_, io::Result<Box<dyn PeerStream>>> {
        async move {
            let stream = TcpStream::connect(address).await?;
            without_delay(stream)
        }
        .boxed()
    }

    fn listen(&self, address: SocketAddr) -> BoxFuture<'_, io::Result<Arc<dyn PeerListener>>> {
        async move {
            let listener = TcpListener::bind(address).await?;
            Ok(Arc::new(listener) as Arc<dyn PeerListener>)
        }
        .boxed()
    }

    fn bind_datagrams(
        &self,
        address: SocketAddr,
    ) -> BoxFuture<'_, io::Result<Arc<dyn DatagramSocket>>> {
        async move {
            let socket = UdpSocket::bind(address).await?;
            Ok(Arc::new(socket) as Arc<dyn DatagramSocket>)
        }
        .boxed()
    }
}

impl PeerListener for TcpListener {
    fn accept(&self) -> BoxFuture<'_, io::Result<Box<dyn PeerStream>>> {
        async move {
            let (stream, _) = TcpListener::accept(self).await?;
            without_delay(stream)
        }
        .boxed()
    }
}

impl DatagramSocket for UdpSocket {
    fn send_to<'a>(&'a self, bytes: &'a [u8], to: SocketAddr) -> BoxFuture<'a, io::Result<()>> {
        async move { UdpSocket::send_to(self, bytes, to).await.map(|_| ()) }.boxed()
    }

    fn receive_from<'a>(
        &'a self,
        buffer: &'a mut [u8],
    ) -> BoxFuture<'a, io::Result<(usize, SocketAddr)>> {
        self.recv_from(buffer).boxed()
    }
}

/// Small messages must not wait for the acknowledgement of the ones before.
fn without_delay(stream: TcpStream) -> io::Result<Box<dyn PeerStream>> {
    stream.set_nodelay(true)?;
    Ok(Box::new(stream))
}
