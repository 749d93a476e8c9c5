//! The addresses of a node, bound before anything else of it starts.

use std::{io, net::SocketAddr};

use tallybridge_core::{ErrorKind, Refusal};
use tokio::net::{TcpListener, TcpSocket};

use crate::settings::MeshSettings;

/// New connections that may wait to be accepted, at each address. Origin not recorded.
const BACKLOG: u32 = 1024;

/// One bound socket for each listener.
pub(super) struct Listeners {
    pub(super) peers: TcpListener,
    pub(super) callers: TcpListener,
    pub(super) ready: TcpListener,
    pub(super) reports: TcpListener,
    pub(super) metrics: TcpListener,
}

impl Listeners {
    /// Binds the addresses of the settings. A port 0 there is replaced by the one that the system chose.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NodeUnavailable`] with the first address that can't be bound.
    pub(super) fn bind(settings: &mut MeshSettings) -> Result<Self, Refusal> {
        Ok(Self {
            peers: bind(&mut settings.peer_address)?,
            callers: bind(&mut settings.caller_address)?,
            ready: bind(&mut settings.ready_address)?,
            reports: bind(&mut settings.report_address)?,
            metrics: bind(&mut settings.metrics_address)?,
        })
    }
}

fn bind(address: &mut SocketAddr) -> Result<TcpListener, Refusal> {
    let listener = listen(*address).map_err(|error| {
        let detail = format!("address {address} can't be bound: {error}");
        Refusal::new(ErrorKind::NodeUnavailable, detail)
    })?;
    match listener.local_addr() {
        Ok(bound) => *address = bound,
        Err(error) => tracing::warn!(%address, %error, "port of a bound address is not known"),
    }
    Ok(listener)
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // A restarted node binds its port though connections of the process before it still linger.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
