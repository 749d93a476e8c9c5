//! HTTP client that reuses a single connection to one server, such as the platform's store.

use std::{net::SocketAddr, time::Duration};

use tokio::{sync::Mutex, time::timeout};

use super::{Connection, ExchangeError, ReceivedResponse, connect};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// A connection fails once sent bytes stay unacknowledged for this long.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2000);

/// Client of one server that keeps its connection between calls and makes one call at a time.
#[derive(Debug)]
pub struct PersistentConnection {
    address: SocketAddr,
    connection: Mutex<Option<Connection>>,
}

impl PersistentConnection {
    /// Creates a client without an open connection.
    #[must_use]
    pub const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: Mutex::const_new(None),
        }
    }

    /// Sends a request on the idle connection, or on a new one, and returns the response. Closes the
    /// connection after a call without a complete response.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError`] if no complete response arrives within `call_timeout`.
    pub async fn call(
        &self,
        method: &str,
        path: &str,
        body: Option<&str>,
        call_timeout: Duration,
    ) -> Result<ReceivedResponse, ExchangeError> {
        let mut idle = self.connection.lock().await;
        let connection = idle.take().filter(Connection::is_open_and_idle);
        let request = self.build_request(method, path, body);
        let body = body.unwrap_or("").as_bytes();
        let exchange = async {
            let mut connection = match connection {
                Some(connection) => connection,
                None => self.open().await?,
            };
            let received = connection.exchange(request.as_bytes(), body, false).await?;
            Ok::<_, ExchangeError>((connection, received))
        };
        let result = timeout(call_timeout, exchange).await;
        let (connection, received) = result
            .map_err(|_| ExchangeError::aborted("no complete response before the timeout"))??;
        if received.is_reusable {
            *idle = Some(connection);
        }
        Ok(received)
    }

    async fn open(&self) -> Result<Connection, ExchangeError> {
        let stream = connect(self.address, CONNECT_TIMEOUT, UNACKNOWLEDGED_TIMEOUT).await;
        let stream = stream.map_err(ExchangeError::not_sent)?;
        Ok(Connection::new(stream))
    }

    fn build_request(&self, method: &str, path: &str, body: Option<&str>) -> String {
        let address = self.address;
        match body {
            Some(body) => format!(
                "{method} {path} HTTP/1.1\r\nHost: {address}\r\n\
                 Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            ),
            None => format!("{method} {path} HTTP/1.1\r\nHost: {address}\r\n\r\n"),
        }
    }
}
