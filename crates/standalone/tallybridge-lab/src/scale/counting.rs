//! Sockets that count what one node sends.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    pin::Pin,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
};

use futures::{FutureExt, future::BoxFuture};
use tallybridge_node::connections::peer::network::{
    DatagramSocket, Network, PeerListener, PeerStream, SocketNetwork,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, UdpSocket},
};

/// Headers of UDP and IPv4 in front of each datagram, in bytes.
pub const DATAGRAM_HEADER_BYTES: u64 = 28;

/// What one node has sent so far, counted while it runs.
#[derive(Debug, Default)]
pub struct Traffic {
    datagrams: AtomicU64,
    datagram_bytes: AtomicU64,
    stream_writes: AtomicU64,
    stream_bytes: AtomicU64,
    streams: AtomicU64,
}

/// What one node has sent so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Sent {
    /// Datagrams.
    pub datagrams: u64,
    /// Their bytes, with the headers of UDP and IPv4.
    pub datagram_bytes: u64,
    /// Writes to byte streams; one carries one frame or more.
    pub stream_writes: u64,
    /// Bytes written to byte streams, without the headers of TCP and IP.
    pub stream_bytes: u64,
    /// Byte streams that the node opened.
    pub streams: u64,
}

impl Traffic {
    /// What has been sent so far.
    #[must_use]
    pub fn sent(&self) -> Sent {
        let datagrams = self.datagrams.load(Ordering::Relaxed);
        let payload = self.datagram_bytes.load(Ordering::Relaxed);
        Sent {
            datagrams,
            datagram_bytes: payload + DATAGRAM_HEADER_BYTES * datagrams,
            stream_writes: self.stream_writes.load(Ordering::Relaxed),
            stream_bytes: self.stream_bytes.load(Ordering::Relaxed),
            streams: self.streams.load(Ordering::Relaxed),
        }
    }
}

/// Sockets of one node, bound to a port that the system chose, which count what is sent.
pub struct CountingNetwork {
    address: SocketAddr,
    listener: Mutex<Option<TcpListener>>,
    datagrams: Mutex<Option<UdpSocket>>,
    traffic: Arc<Traffic>,
}

/// Ports tried until one is free for TCP and UDP alike.
const BIND_ATTEMPTS: usize = 64;

impl CountingNetwork {
    /// Binds a port of loopback that is free for both protocols.
    ///
    /// # Errors
    ///
    /// The last error when no such port was found.
    pub async fn bind() -> io::Result<Self> {
        let mut last = io::Error::from(io::ErrorKind::AddrInUse);
        for _ in 0..BIND_ATTEMPTS {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
            let address = listener.local_addr()?;
            match UdpSocket::bind(address).await {
                Ok(socket) => {
                    return Ok(Self {
                        address,
                        listener: Mutex::new(Some(listener)),
                        datagrams: Mutex::new(Some(socket)),
                        traffic: Arc::default(),
                    });
                }
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    /// The address that was bound.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Counters of what the node sends.
    #[must_use]
    pub fn traffic(&self) -> Arc<Traffic> {
        self.traffic.clone()
    }
}

/// Takes a socket that a node may ask for once.
fn take<T>(slot: &Mutex<Option<T>>) -> io::Result<T> {
    let mut slot = slot.lock().unwrap_or_else(PoisonError::into_inner);
    slot.take()
        .ok_or_else(|| io::Error::from(io::ErrorKind::AddrInUse))
}

impl Network for CountingNetwork {
    fn connect(&self, address: SocketAddr) -> BoxFuture<'_, io::Result<Box<dyn PeerStream>>> {
        async move {
            let stream = SocketNetwork.connect(address).await?;
            self.traffic.streams.fetch_add(1, Ordering::Relaxed);
            Ok(CountingStream::boxed(stream, &self.traffic))
        }
        .boxed()
    }

    fn listen(&self, _address: SocketAddr) -> BoxFuture<'_, io::Result<Arc<dyn PeerListener>>> {
        async move {
            let listener = CountingListener {
                listener: take(&self.listener)?,
                traffic: self.traffic.clone(),
            };
            Ok(Arc::new(listener) as Arc<dyn PeerListener>)
        }
        .boxed()
    }

    fn bind_datagrams(
        &self,
        _address: SocketAddr,
    ) -> BoxFuture<'_, io::Result<Arc<dyn DatagramSocket>>> {
        async move {
            let socket = CountingSocket {
                socket: take(&self.datagrams)?,
                traffic: self.traffic.clone(),
            };
            Ok(Arc::new(socket) as Arc<dyn DatagramSocket>)
        }
        .boxed()
    }
}

struct CountingListener {
    listener: TcpListener,
    traffic: Arc<Traffic>,
}

impl PeerListener for CountingListener {
    fn accept(&self) -> BoxFuture<'_, io::Result<Box<dyn PeerStream>>> {
        async move {
            let stream = PeerListener::accept(&self.listener).await?;
            Ok(CountingStream::boxed(stream, &self.traffic))
        }
        .boxed()
    }
}

struct CountingSocket {
    socket: UdpSocket,
    traffic: Arc<Traffic>,
}

impl DatagramSocket for CountingSocket {
    fn send_to<'a>(&'a self, bytes: &'a [u8], to: SocketAddr) -> BoxFuture<'a, io::Result<()>> {
        let length = bytes.len() as u64;
        self.traffic.datagrams.fetch_add(1, Ordering::Relaxed);
        self.traffic
            .datagram_bytes
            .fetch_add(length, Ordering::Relaxed);
        DatagramSocket::send_to(&self.socket, bytes, to)
    }

    fn receive_from<'a>(
        &'a self,
        buffer: &'a mut [u8],
    ) -> BoxFuture<'a, io::Result<(usize, SocketAddr)>> {
        self.socket.receive_from(buffer)
    }
}

struct CountingStream {
    stream: Box<dyn PeerStream>,
    traffic: Arc<Traffic>,
}

impl CountingStream {
    fn boxed(stream: Box<dyn PeerStream>, traffic: &Arc<Traffic>) -> Box<dyn PeerStream> {
        Box::new(Self {
            stream,
            traffic: traffic.clone(),
        })
    }
}

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut *self.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(count)) = &written {
            self.traffic.stream_writes.fetch_add(1, Ordering::Relaxed);
            self.traffic
                .stream_bytes
                .fetch_add(*count as u64, Ordering::Relaxed);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream).poll_shutdown(context)
    }
}
