//! Pool of connections to the back end beside this node.
//!
//! The pool owns the idle connections. A request checks a connection out for exclusive use and checks
//! it in after a complete response. The pool never hands out a connection that the back end may have
//! closed: a request lost on such a connection cannot be distinguished from one that ran.

use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::time::Instant;

use super::{Connection, ExchangeError, ReceivedResponse, ResponseHead, ResponseLimits, connect};
use crate::memory::{MemoryBudget, MemoryUse};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// A connection fails once sent bytes stay unacknowledged for this long.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2500);
/// Subtracted from the announced keep-alive timeout, so that no request is written while the back end
/// closes the connection.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(500);
/// Applies when the back end announces no keep-alive timeout.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_millis(300);
/// Limits the announced keep-alive timeout, which may exceed what a clock can represent.
const MAX_KEEP_ALIVE: Duration = Duration::from_secs(3600);
const MAX_IDLE_CONNECTIONS: usize = 256;

/// Idle connections to one back end.
#[derive(Debug)]
pub struct ConnectionPool {
    address: SocketAddr,
    limits: ResponseLimits,
    idle: Mutex<Vec<IdleConnection>>,
}

/// A connection that is checked out for one request.
#[derive(Debug)]
pub struct Checkout {
    /// Connection for exclusive use until [`ConnectionPool::check_in`].
    pub connection: Connection,
    /// Whether the connection carried an earlier request.
    pub is_reused: bool,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

impl ConnectionPool {
    /// Creates an empty pool for the back end at `address`, whose answers share the memory of `budget`.
    #[must_use]
    pub fn new(address: SocketAddr, budget: MemoryBudget) -> Self {
        Self {
            address,
            limits: ResponseLimits {
                budget: Some(budget),
                ..ResponseLimits::default()
            },
            idle: Mutex::new(Vec::new()),
        }
    }

    fn lock_idle(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the most recently used connection that is still open, or `None` if there is none.
    /// Closes the expired connections that it skips.
    #[must_use]
    pub fn check_out(&self) -> Option<Checkout> {
        let now = Instant::now();
        let mut idle = self.lock_idle();
        while let Some(last) = idle.pop() {
            if now < last.expires_at && last.connection.is_open_and_idle() {
                return Some(Checkout {
                    connection: last.connection,
                    is_reused: true,
                });
            }
        }
        None
    }

    /// Opens a new connection to the back end.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError`] if the back end accepts no connection within `CONNECT_TIMEOUT`.
    pub async fn open(&self) -> Result<Checkout, ExchangeError> {
        let stream = connect(self.address, CONNECT_TIMEOUT, UNACKNOWLEDGED_TIMEOUT).await;
        let stream = stream.map_err(ExchangeError::not_sent)?;
        Ok(Checkout {
            connection: Connection::with_limits(stream, self.limits.clone()),
            is_reused: false,
        })
    }

    /// Returns a connection to the pool after a complete response, or closes the connection if it
    /// cannot be reused or the pool is full.
    pub fn check_in(&self, connection: Connection, received: &ReceivedResponse) {
        if !received.is_reusable {
            return;
        }
        let keep_alive = keep_alive_duration(&received.head);
        let mut idle = self.lock_idle();
        if keep_alive.is_zero() || idle.len() >= MAX_IDLE_CONNECTIONS {
            return;
        }
        idle.push(IdleConnection {
            connection,
            expires_at: Instant::now() + keep_alive,
        });
    }

    /// Closes the idle connections whose keep-alive time has expired, and those on which the back end
    /// has sent bytes, which no request waits for.
    pub fn prune(&self) {
        let now = Instant::now();
        self.lock_idle()
            .retain(|idle| now < idle.expires_at && idle.connection.is_open_and_idle());
    }

    /// Returns the bytes of the budget that answers hold.
    #[must_use]
    pub fn answer_bytes(&self) -> usize {
        let budget = self.limits.budget.as_ref();
        budget.map_or(0, |budget| budget.used_bytes_for(MemoryUse::Answer))
    }

    /// Closes all idle connections. Checked-out connections are not affected.
    pub fn clear(&self) {
        self.lock_idle().clear();
    }
}

/// Returns how long the connection may be reused after a response with this head.
fn keep_alive_duration(head: &ResponseHead) -> Duration {
    let timeout_seconds = head
        .headers
        .text("keep-alive")
        .and_then(parse_keep_alive_timeout);
    match timeout_seconds {
        Some(seconds) => Duration::from_secs(seconds)
            .min(MAX_KEEP_ALIVE)
            .saturating_sub(KEEP_ALIVE_MARGIN),
        None => DEFAULT_KEEP_ALIVE,
    }
}

/// Returns the `timeout` parameter of a `Keep-Alive` header, in seconds.
fn parse_keep_alive_timeout(keep_alive: &str) -> Option<u64> {
    keep_alive
        .split(',')
        .filter_map(|part| part.trim().strip_prefix("timeout="))
        .find_map(|seconds| seconds.trim().parse().ok())
}
