//! One connection on which requests are sent and whole answers read, one at a time.

use std::{io, net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use super::{
    body::{BodyLength, BodyReader},
    head::ResponseHead,
};

/// Largest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Largest body of an answer, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Room that is made for each read, in bytes.
const READ_BYTES: usize = 8 * 1024;

/// How far an exchange came before it failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeStage {
    /// Nothing was written: the request was not handed over.
    NotSent,
    /// Something was written: the request may have been taken.
    Sent,
}

/// An exchange that gave no whole answer.
#[derive(Debug, thiserror::Error)]
#[error("{reason}")]
pub struct ExchangeError {
    /// How far it came.
    pub stage: ExchangeStage,
    /// What went wrong.
    pub reason: String,
}

impl ExchangeError {
    /// A failure before anything was written.
    #[must_use]
    pub fn not_sent(reason: impl ToString) -> Self {
        Self {
            stage: ExchangeStage::NotSent,
            reason: reason.to_string(),
        }
    }

    /// A failure after something was written.
    #[must_use]
    pub fn sent(reason: impl ToString) -> Self {
        Self {
            stage: ExchangeStage::Sent,
            reason: reason.to_string(),
        }
    }
}

/// A whole answer.
#[derive(Debug)]
pub struct Received {
    /// Its head.
    pub head: ResponseHead,
    /// Its whole body.
    pub body: Bytes,
    /// Whether more can come on the connection: the answer was framed and announced no close.
    pub goes_on: bool,
    /// Whether the connection may carry another request: the answer was whole and framed, the
    /// request was sent to its end before, nothing is left over and nobody announced a close.
    pub reusable: bool,
}

/// A connection to an HTTP server.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
}

/// Opens a TCP connection that notices silence: unacknowledged data or keep-alive probes end it.
///
/// # Errors
///
/// What the socket says, or a time-out after `timeout`.
pub async fn connect(
    address: SocketAddr,
    timeout: Duration,
    silence: Duration,
) -> io::Result<TcpStream> {
    let connecting = TcpStream::connect(address);
    let stream = tokio::time::timeout(timeout, connecting)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_liveness_options(&stream, silence);
    Ok(stream)
}

/// Sets the options by which a connection whose other side falls silent ends.
pub fn set_liveness_options(stream: &TcpStream, silence: Duration) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(Duration::from_secs(1))
        .with_interval(Duration::from_secs(1))
        .with_retries(2);
    // Each is an improvement only: a system without the option still carries the connection.
    let _ = socket.set_tcp_nodelay(true);
    let _ = socket.set_tcp_user_timeout(Some(silence));
    let _ = socket.set_tcp_keepalive(&keepalive);
}

impl Connection {
    /// A connection on a stream that was opened.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
        }
    }

    /// Whether nothing came since the last answer and the other side still holds the connection.
    #[must_use]
    pub fn is_quiet(&self) -> bool {
        if !self.buffer.is_empty() {
            return false;
        }
        let mut byte = [0_u8; 1];
        match self.stream.try_read(&mut byte) {
            Err(error) => error.kind() == io::ErrorKind::WouldBlock,
            Ok(_) => false,
        }
    }

    /// Sends a request and reads its whole answer.
    ///
    /// # Errors
    ///
    /// [`ExchangeError`] when the connection fails or what comes is no whole answer.
    pub async fn exchange(
        &mut self,
        request: &[u8],
        body: &[u8],
        is_head_request: bool,
    ) -> Result<Received, ExchangeError> {
        let first = self.stream.write(request).await;
        let first = first.map_err(ExchangeError::not_sent)?;
        let Self { stream, buffer } = self;
        let (mut reader, mut writer) = stream.split();
        let mut is_sent = false;
        let received = {
            let sending = async {
                writer.write_all(&request[first..]).await?;
                writer.write_all(body).await
            };
            let receiving = receive(&mut reader, buffer, is_head_request);
            tokio::pin!(sending, receiving);
            loop {
                tokio::select! {
                    biased;
                    sent = &mut sending, if !is_sent => {
                        sent.map_err(ExchangeError::sent)?;
                        is_sent = true;
                    }
                    received = &mut receiving => break received,
                }
            }
        };
        let mut received = received.map_err(ExchangeError::sent)?;
        received.reusable &= is_sent && buffer.is_empty();
        Ok(received)
    }
}

impl Connection {
    /// Reads one more answer, after one that belonged to no request.
    ///
    /// # Errors
    ///
    /// [`ExchangeError`] when the connection fails or what comes is no whole answer.
    pub async fn next_answer(&mut self, is_head_request: bool) -> Result<Received, ExchangeError> {
        let Self { stream, buffer } = self;
        let (mut reader, _writer) = stream.split();
        let received = receive(&mut reader, buffer, is_head_request).await;
        let mut received = received.map_err(ExchangeError::sent)?;
        received.reusable &= buffer.is_empty();
        Ok(received)
    }
}

async fn receive(
    reader: &mut tokio::net::tcp::ReadHalf<'_>,
    buffer: &mut BytesMut,
    is_head_request: bool,
) -> Result<Received, String> {
    let head = loop {
        match ResponseHead::take(buffer, MAX_HEAD_BYTES).map_err(|error| error.to_string())? {
            Some(head) if (100..=199).contains(&head.status) && head.status != 101 => {}
            Some(head) => break head,
            None => read_more(reader, buffer).await?,
        }
    };
    let length = BodyLength::of_response(&head, is_head_request);
    let length = length.map_err(|error| error.to_string())?;
    let body = BodyReader::new(length, MAX_BODY_BYTES);
    let mut body = body.map_err(|error| error.to_string())?;
    loop {
        if body.read(buffer).map_err(|error| error.to_string())? {
            break;
        }
        if let Err(reason) = read_more(reader, buffer).await {
            if reason == CLOSED && body.ends_at_close() {
                break;
            }
            return Err(reason);
        }
    }
    let goes_on = length != BodyLength::UntilClose && !head.closes();
    Ok(Received {
        head,
        body: body.into_body().into(),
        goes_on,
        reusable: goes_on,
    })
}

/// What a clean end of the connection is told as.
const CLOSED: &str = "connection closed before the end of the answer";

async fn read_more(
    reader: &mut tokio::net::tcp::ReadHalf<'_>,
    buffer: &mut BytesMut,
) -> Result<(), String> {
    buffer.reserve(READ_BYTES);
    match reader.read_buf(buffer).await {
        Ok(0) => Err(CLOSED.to_owned()),
        Ok(_) => Ok(()),
        Err(error) => Err(error.to_string()),
    }
}
