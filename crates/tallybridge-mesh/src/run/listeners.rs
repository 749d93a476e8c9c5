//! Listening sockets of a node, bound before its tasks start.

use std::{io, net::SocketAddr};

use tallybridge_core::{ErrorKind, Refusal};
use tokio::net::{TcpListener, TcpSocket};

use crate::settings::MeshSettings;

const ACCEPT_BACKLOG: u32 = 1024;

pub(super) struct Listeners {
    pub(super) peers: TcpListener,
    pub(super) callers: TcpListener,
    pub(super) ready: TcpListener,
    pub(super) reports: TcpListener,
    pub(super) metrics: TcpListener,
}

impl Listeners {
    /// Binds the addresses in the settings, and replaces each port 0 with the assigned port.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::NodeUnavailable`] for the first address that cannot be bound.
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
    let listener = open_listener(*address).map_err(|error| {
        let detail = format!("cannot bind address {address}: {error}");
        Refusal::new(ErrorKind::NodeUnavailable, detail)
    })?;
    match listener.local_addr() {
        Ok(bound) => *address = bound,
        Err(error) => {
            tracing::warn!(%address, %error, "cannot determine the bound port; keeping the configured address")
        }
    }
    Ok(listener)
}

fn open_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // Allows a restarted node to bind its port while old connections are in TIME_WAIT.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}
