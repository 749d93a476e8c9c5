//! Opens TCP connections that fail when the remote side becomes unresponsive.

use std::{io, net::SocketAddr, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, time::timeout};

/// Idle time before the first TCP keep-alive probe, and the interval between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// The connection fails after this many unanswered probes.
const MAX_UNANSWERED_PROBES: u32 = 2;

/// Opens a connection with the options of [`set_liveness_options`].
///
/// # Errors
///
/// Returns the error of the socket, or `TimedOut` after `connect_timeout`.
pub async fn connect(
    address: SocketAddr,
    connect_timeout: Duration,
    unacknowledged_timeout: Duration,
) -> io::Result<TcpStream> {
    let stream = timeout(connect_timeout, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_liveness_options(&stream, unacknowledged_timeout);
    Ok(stream)
}

/// Makes the system fail a connection if sent bytes stay unacknowledged for
/// `unacknowledged_timeout`, or if keep-alive probes on an idle connection are not answered.
pub fn set_liveness_options(stream: &TcpStream, unacknowledged_timeout: Duration) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MAX_UNANSWERED_PROBES);
    // Errors are ignored because a connection without these options still works. Timeouts of the
    // callers then detect an unresponsive remote side later.
    let _ = socket.set_tcp_nodelay(true);
    let _ = socket.set_tcp_user_timeout(Some(unacknowledged_timeout));
    let _ = socket.set_tcp_keepalive(&keepalive);
}
