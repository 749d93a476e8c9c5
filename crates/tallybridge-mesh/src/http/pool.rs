//! Connections to the back end beside this node.

use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::time::Instant;

use super::{Connection, ExchangeError, Received, ResponseHead, client::connect};

/// Longest wait for a connection to the back end, which is on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time after which unacknowledged bytes end a connection.
const SILENCE: Duration = Duration::from_millis(2500);
/// Kept off the time that the back end promises to keep a connection.
const KEEP_MARGIN: Duration = Duration::from_millis(500);
/// How long a connection without such a promise is kept.
const KEEP_UNPROMISED: Duration = Duration::from_millis(300);
/// Most connections that rest.
const MAX_RESTING: usize = 256;

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    until: Instant,
}

/// Connections to one back end. Each carries one request at a time.
#[derive(Debug)]
pub struct ConnectionPool {
    address: SocketAddr,
    resting: Mutex<Vec<IdleConnection>>,
}

/// A connection for one request.
#[derive(Debug)]
pub struct Checkout {
    /// The connection.
    pub connection: Connection,
    /// Whether it carried a request before.
    pub is_reused: bool,
}

impl ConnectionPool {
    /// A pool without connections.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            resting: Mutex::new(Vec::new()),
        }
    }

    fn resting(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        self.resting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A connection that carried requests before and is still quiet; the one used last.
    #[must_use]
    pub fn take(&self) -> Option<Checkout> {
        let now = Instant::now();
        let mut resting = self.resting();
        while let Some(last) = resting.pop() {
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
    /// [`ExchangeError`] when the back end takes none in time.
    pub async fn open(&self) -> Result<Checkout, ExchangeError> {
        let stream = connect(self.address, CONNECT_TIMEOUT, SILENCE).await;
        let stream = stream.map_err(ExchangeError::not_sent)?;
        Ok(Checkout {
            connection: Connection::new(stream),
            is_reused: false,
        })
    }

    /// Keeps a connection after a whole answer, if it may be used again.
    pub fn give_back(&self, connection: Connection, received: &Received) {
        if !received.reusable {
            return;
        }
        let keep = keep_time(&received.head);
        let mut resting = self.resting();
        if keep.is_zero() || resting.len() >= MAX_RESTING {
            return;
        }
        resting.push(IdleConnection {
            connection,
            until: Instant::now() + keep,
        });
    }

    /// Closes connections that have rested too long.
    pub fn prune(&self) {
        let now = Instant::now();
        self.resting().retain(|resting| now < resting.until);
    }

    /// Closes all connections that rest.
    pub fn clear(&self) {
        self.resting().clear();
    }
}

/// How long the back end keeps a connection after an answer, as far as it can be relied on.
fn keep_time(head: &ResponseHead) -> Duration {
    let Some(promise) = head.headers.text("keep-alive") else {
        return KEEP_UNPROMISED;
    };
    let seconds = promise
        .split(',')
        .filter_map(|part| part.trim().strip_prefix("timeout="))
        .find_map(|seconds| seconds.trim().parse::<u64>().ok());
    match seconds {
        Some(seconds) => Duration::from_secs(seconds).saturating_sub(KEEP_MARGIN),
        None => KEEP_UNPROMISED,
    }
}
