//! Closes connections without losing what the other side has not received.
//!
//! A completed write only fills the system's send buffer. The system delivers the buffer even after the
//! socket is closed or its process has ended, but it resets the connection when the other side sends
//! anything in that time, which loses the rest. A socket is therefore closed only after the other side
//! has closed the connection, or once no more bytes are acknowledged.

use std::{io, os::fd::AsRawFd, time::Duration};

use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWriteExt, Interest},
    net::TcpStream,
    time::{Instant, timeout},
};

use crate::log::rate_limit::LogRateLimit;

/// Time between two reads of the number of unacknowledged bytes.
pub const DELIVERY_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time until a closing connection is dropped, however slowly its bytes are acknowledged.
const MAX_CLOSING_TIME: Duration = Duration::from_secs(20);
/// Most that is read of a closing connection. Enough for the rest of ordinary requests, whose senders then get
/// their response; a sender without end is left unread.
pub const MAX_DISCARDED_BYTES: usize = 4 << 20;
/// Time that the other side has to close an idle connection whose bytes are all acknowledged.
const IDLE_CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

mod ioctl {
    use nix::libc;

    nix::ioctl_read_bad!(send_queue_length, libc::TIOCOUTQ, libc::c_int);
}

/// Returns how many written bytes the other side has not acknowledged. Returns 0 on systems that cannot
/// tell.
#[must_use]
pub fn unacknowledged_bytes(stream: &TcpStream) -> usize {
    static LOG_RATE_LIMIT: LogRateLimit = LogRateLimit::new();
    let mut length = 0;
    #[allow(
        unsafe_code,
        reason = "no library offers a safe wrapper of this request"
    )]
    // SAFETY: the descriptor is open while `stream` is borrowed, and `length` has the type that the
    // request writes.
    let result = unsafe { ioctl::send_queue_length(stream.as_raw_fd(), &raw mut length) };
    if let Err(error) = result {
        if let Some(left_out) = LOG_RATE_LIMIT.admit() {
            tracing::warn!(
                %error,
                left_out,
                "cannot read the length of a send queue; treating the connection as acknowledged"
            );
        }
        return 0;
    }
    usize::try_from(length).unwrap_or_default()
}

/// Detects that the other side acknowledges no more bytes, because it has all of them or stopped reading.
#[derive(Debug)]
pub struct Delivery {
    unacknowledged: usize,
    changed_at: Instant,
}

impl Delivery {
    /// Starts to observe a connection on which nothing more is written.
    #[must_use]
    pub fn of(stream: &TcpStream) -> Self {
        Self {
            unacknowledged: unacknowledged_bytes(stream),
            changed_at: Instant::now(),
        }
    }

    /// Returns whether nothing was acknowledged for `length`.
    pub fn has_rested(&mut self, stream: &TcpStream, length: Duration) -> bool {
        let unacknowledged = unacknowledged_bytes(stream);
        if unacknowledged != self.unacknowledged {
            self.unacknowledged = unacknowledged;
            self.changed_at = Instant::now();
        }
        self.changed_at.elapsed() >= length
    }
}

/// Reads until the other side closes the connection, until nothing was acknowledged for `rest_timeout`, or
/// for 20 s. The sending side must have been shut down. Discards what is read, at most 4 MiB.
///
/// # Errors
///
/// Returns the error of the socket, for example after a reset.
pub async fn discard_until_closed<R>(reader: &mut R, rest_timeout: Duration) -> io::Result<()>
where
    R: AsyncRead + AsRef<TcpStream> + Unpin,
{
    let mut buffer = [0_u8; 1024];
    let mut discarded_bytes = 0;
    let started_at = Instant::now();
    let mut delivery = Delivery::of(reader.as_ref());
    while started_at.elapsed() < MAX_CLOSING_TIME
        && !delivery.has_rested(reader.as_ref(), rest_timeout)
    {
        let reading = async {
            while discarded_bytes < MAX_DISCARDED_BYTES {
                match reader.read(&mut buffer).await? {
                    0 => return Ok(()),
                    count => discarded_bytes += count,
                }
            }
            wait_until_closed(reader.as_ref()).await
        };
        if let Ok(closed) = timeout(DELIVERY_POLL_INTERVAL, reading).await {
            return closed;
        }
    }
    Ok(())
}

/// Closes a connection whose bytes are all acknowledged: shuts down the sending side, then waits until the
/// other side closes the connection, for at most 1 s.
///
/// A request that arrives meanwhile cannot be answered. It is left unread, which tells its sender that it
/// has not run.
///
/// # Errors
///
/// Returns the error of the socket, for example after a reset.
pub async fn close_idle(stream: &mut TcpStream) -> io::Result<()> {
    stream.shutdown().await?;
    match timeout(IDLE_CLOSE_TIMEOUT, wait_until_closed(stream)).await {
        Ok(closed) => closed,
        Err(_) => Ok(()),
    }
}

/// Waits until the other side closes a connection, without reading from it.
async fn wait_until_closed(stream: &TcpStream) -> io::Result<()> {
    loop {
        let ready = stream.ready(Interest::READABLE).await?;
        if ready.is_read_closed() || stream.peek(&mut [0]).await? == 0 {
            return Ok(());
        }
        // Unread bytes keep the socket readable.
        tokio::time::sleep(DELIVERY_POLL_INTERVAL).await;
    }
}
