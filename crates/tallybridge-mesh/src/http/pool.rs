//! Connections to the back end beside this node, kept between requests.
//!
//! Owns the idle connections; a request checks one out, alone, and checks it in after a whole
//! answer. One that the back end may have closed meanwhile is not checked out: a request that is
//! written to it may be lost, and it can't be told from one that ran.

use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::time::Instant;

use super::{Connection, ExchangeError, Received, ResponseHead, connect};

/// Longest wait for a connection to the back end, which is on the same machine. Origin not recorded.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time after which unacknowledged bytes end a connection. Origin not recorded.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2500);
/// Taken off the time for which the back end promises to keep a connection, so that a request is not
/// written while it closes. Origin not recorded.
const KEEP_MARGIN: Duration = Duration::from_millis(500);
/// How long a connection without such a promise is kept. Origin not recorded.
const KEEP_UNPROMISED: Duration = Duration::from_millis(300);
/// Most idle connections. Origin not recorded.
const MAX_IDLE: usize = 256;

/// Connections to one back end. Each carries one request at a time.
#[derive(Debug)]
pub struct ConnectionPool {
    address: SocketAddr,
    idle: Mutex<Vec<IdleConnection>>,
}

/// A connection for one request.
#[derive(Debug)]
pub struct Checkout {
    /// The connection.
    pub connection: Connection,
    /// Whether it carried a request before.
    pub is_reused: bool,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    until: Instant,
}

impl ConnectionPool {
    /// A pool without connections.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Mutex::new(Vec::new()),
        }
    }

    fn idle(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The idle connection that was used last and that the back end still holds, if there is one.
    /// Those that it passes over are closed.
    #[must_use]
    pub fn check_out(&self) -> Option<Checkout> {
        let now = Instant::now();
        let mut idle = self.idle();
        while let Some(last) = idle.pop() {
            if now < last.until && last.connection.is_quiet() {
                return Some(Checkout {
                    connection: last.connection,
                    is_reused: true,
                });
            }
        }
        None
    }

    /// A new connection.
    ///
    /// # Errors
    ///
    /// [`ExchangeError`] when the back end accepts none within `CONNECT_TIMEOUT`.
    pub async fn open(&self) -> Result<Checkout, ExchangeError> {
        let stream = connect(self.address, CONNECT_TIMEOUT, UNACKNOWLEDGED_TIMEOUT).await;
        let stream = stream.map_err(ExchangeError::not_sent)?;
        Ok(Checkout {
            connection: Connection::new(stream),
            is_reused: false,
        })
    }

    /// Keeps a connection after a complete answer, if it may carry another request; closes it otherwise.
    pub fn check_in(&self, connection: Connection, received: &Received) {
        if !received.reusable {
            return;
        }
        let keep = keep_time(&received.head);
        let mut idle = self.idle();
        if keep.is_zero() || idle.len() >= MAX_IDLE {
            return;
        }
        idle.push(IdleConnection {
            connection,
            until: Instant::now() + keep,
        });
    }

    /// Closes connections that were idle for too long.
    pub fn prune(&self) {
        let now = Instant::now();
        self.idle().retain(|idle| now < idle.until);
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.idle().clear();
    }
}

/// How long the back end keeps a connection after an answer, as far as it can be relied on.
fn keep_time(head: &ResponseHead) -> Duration {
    let promised = head.headers.text("keep-alive").and_then(promised_seconds);
    match promised {
        Some(seconds) => Duration::from_secs(seconds).saturating_sub(KEEP_MARGIN),
        None => KEEP_UNPROMISED,
    }
}

/// The `timeout` parameter of a `Keep-Alive` header, in seconds.
fn promised_seconds(keep_alive: &str) -> Option<u64> {
    keep_alive
        .split(',')
        .filter_map(|part| part.trim().strip_prefix("timeout="))
        .find_map(|seconds| seconds.trim().parse().ok())
}
