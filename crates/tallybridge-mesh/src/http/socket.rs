//! TCP connections that end when the other side falls silent.

use std::{io, net::SocketAddr, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, time::timeout};

/// Time without traffic after which keep-alive probes begin, and time between them. Origin not
/// recorded.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which the connection ends. Origin not recorded.
const PROBES: u32 = 2;

/// Opens a connection that ends when the other side falls silent, as
/// [`set_liveness_options`] describes.
///
/// # Errors
///
/// Errors of the socket, and `TimedOut` after `limit`.
pub async fn connect(
    address: SocketAddr,
    limit: Duration,
    unacknowledged_timeout: Duration,
) -> io::Result<TcpStream> {
    let stream = timeout(limit, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_liveness_options(&stream, unacknowledged_timeout);
    Ok(stream)
}

/// Ends a connection whose sent bytes stay unacknowledged for `unacknowledged_timeout`, and an idle
/// one whose keep-alive probes are not answered.
pub fn set_liveness_options(stream: &TcpStream, unacknowledged_timeout: Duration) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    // A system that lacks one of them still carries the connection: time-outs above the socket find
    // the silence, later.
    let _ = socket.set_tcp_nodelay(true);
    let _ = socket.set_tcp_user_timeout(Some(unacknowledged_timeout));
    let _ = socket.set_tcp_keepalive(&keepalive);
}
