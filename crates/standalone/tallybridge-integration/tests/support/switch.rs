//! Links between nodes that a test can cut.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll},
};

use futures::{FutureExt, future::BoxFuture};
use tallybridge_node::connections::peer::network::{
    DatagramSocket, Network, PeerListener, PeerStream, SocketNetwork,
};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// What a node is cut off from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// Links fail, datagrams still go: the node hears of what it can't fetch.
    Links,
    /// Nothing goes.
    All,
}

/// The nodes that are cut off, by address.
#[derive(Clone, Default)]
pub struct Switch(Arc<Mutex<BTreeMap<SocketAddr, Cut>>>);

impl Switch {
    pub fn cut(&self, address: SocketAddr, cut: Cut) {
        self.0.lock().expect("lock").insert(address, cut);
    }

    pub fn heal(&self) {
        self.0.lock().expect("lock").clear();
    }

    /// The network as the node at `own` has it.
    pub fn network_of(&self, own: SocketAddr) -> Arc<dyn Network> {
        let switch = self.clone();
        Arc::new(SwitchedNetwork { switch, own })
    }

    fn check(&self, ends: [SocketAddr; 2]) -> io::Result<()> {
        let cut = self.0.lock().expect("lock");
        if ends.iter().any(|end| cut.contains_key(end)) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        Ok(())
    }

    fn loses_datagrams(&self, ends: [SocketAddr; 2]) -> bool {
        let cut = self.0.lock().expect("lock");
        ends.iter().any(|end| cut.get(end) == Some(&Cut::All))
    }
}

struct SwitchedNetwork {
    switch: Switch,
    own: SocketAddr,
}

impl Network for SwitchedNetwork {
    fn connect(&self, address: SocketAddr) -> BoxFuture<'_, io::Result<Box<dyn PeerStream>>> {
        let ends = [self.own, address];
        async move {
            self.switch.check(ends)?;
            let stream = SocketNetwork.connect(address).await?;
            let switch = self.switch.clone();
            Ok(Box::new(SwitchedStream {
                stream,
                switch,
                ends,
            }) as Box<dyn PeerStream>)
        }
        .boxed()
    }

    fn listen(&self, address: SocketAddr) -> BoxFuture<'_, io::Result<Arc<dyn PeerListener>>> {
        SocketNetwork.listen(address)
    }

    fn bind_datagrams(
        &self,
        address: SocketAddr,
    ) -> BoxFuture<'_, io::Result<Arc<dyn DatagramSocket>>> {
        async move {
            let socket = SocketNetwork.bind_datagrams(address).await?;
            let switch = self.switch.clone();
            let own = self.own;
            Ok(Arc::new(SwitchedSocket {
                socket,
                switch,
                own,
            }) as Arc<dyn DatagramSocket>)
        }
        .boxed()
    }
}

/// A socket whose datagrams are lost when one of their ends is cut off from them.
struct SwitchedSocket {
    socket: Arc<dyn DatagramSocket>,
    switch: Switch,
    own: SocketAddr,
}

impl DatagramSocket for SwitchedSocket {
    fn send_to<'a>(&'a self, bytes: &'a [u8], to: SocketAddr) -> BoxFuture<'a, io::Result<()>> {
        if self.switch.loses_datagrams([self.own, to]) {
            return std::future::ready(Ok(())).boxed();
        }
        self.socket.send_to(bytes, to)
    }

    fn receive_from<'a>(
        &'a self,
        buffer: &'a mut [u8],
    ) -> BoxFuture<'a, io::Result<(usize, SocketAddr)>> {
        self.socket.receive_from(buffer)
    }
}

/// A stream that fails when one of its ends is cut off.
struct SwitchedStream {
    stream: Box<dyn PeerStream>,
    switch: Switch,
    ends: [SocketAddr; 2],
}

impl AsyncRead for SwitchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.switch.check(self.ends)?;
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for SwitchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.switch.check(self.ends)?;
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
