//! Calls to one server, as the platform's store, on a connection that is kept between them.

use std::{net::SocketAddr, time::Duration};

use tokio::{sync::Mutex, time::timeout};

use super::{Connection, ExchangeError, Received, connect};

/// Longest wait for a connection. Origin not recorded.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Time after which unacknowledged bytes end a connection. Origin not recorded.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2000);

/// A server, and the connection that is kept to it. Calls go one after the other.
#[derive(Debug)]
pub struct PersistentConnection {
    address: SocketAddr,
    connection: Mutex<Option<Connection>>,
}

impl PersistentConnection {
    /// A server at an address, to which no connection is open yet.
    #[must_use]
    pub const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: Mutex::const_new(None),
        }
    }

    /// Makes a call on the kept connection, or on a new one. A connection on which a call got no
    /// answer is given up: it would say nothing more.
    ///
    /// # Errors
    ///
    /// [`ExchangeError`] when there is no answer within `limit`, with whether the call was sent.
    pub async fn call(
        &self,
        method: &str,
        path: &str,
        body: Option<&str>,
        limit: Duration,
    ) -> Result<Received, ExchangeError> {
        let mut kept = self.connection.lock().await;
        let connection = kept.take().filter(Connection::is_quiet);
        let request = self.request(method, path, body);
        let body = body.unwrap_or("").as_bytes();
        let calling = async {
            let mut connection = match connection {
                Some(connection) => connection,
                None => self.open().await?,
            };
            let received = connection.exchange(request.as_bytes(), body, false).await?;
            Ok::<_, ExchangeError>((connection, received))
        };
        let called = timeout(limit, calling).await;
        let (connection, received) =
            called.map_err(|_| ExchangeError::given_up("time is up"))??;
        if received.reusable {
            *kept = Some(connection);
        }
        Ok(received)
    }

    async fn open(&self) -> Result<Connection, ExchangeError> {
        let stream = connect(self.address, CONNECT_TIMEOUT, UNACKNOWLEDGED_TIMEOUT).await;
        let stream = stream.map_err(ExchangeError::not_sent)?;
        Ok(Connection::new(stream))
    }

    fn request(&self, method: &str, path: &str, body: Option<&str>) -> String {
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
