//! One connection on which requests are sent and complete answers read, one at a time.

use std::io;

use bytes::{Bytes, BytesMut};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpStream, tcp::ReadHalf},
};

use super::{BodyLength, BodyReader, ExchangeError, ResponseHead, exchange_error::ExchangeFailure};

/// Largest head of an answer, in bytes. Origin not recorded.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Largest body of an answer, in bytes; as large as a request's body may be by default.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Room that is made for each read, in bytes. Origin not recorded.
const READ_BYTES: usize = 8 * 1024;

/// A connection to an HTTP server.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
}

/// A complete answer.
#[derive(Debug)]
pub struct Received {
    /// Its head.
    pub head: ResponseHead,
    /// Its complete body.
    pub body: Bytes,
    /// Whether more can come on the connection: the answer was framed and announced no close.
    pub goes_on: bool,
    /// Whether the connection may carry another request: the answer was complete and framed, the
    /// request was sent to its end before, nothing is left over and nobody announced a close.
    pub reusable: bool,
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

    /// Sends a request and reads its complete answer, which may come before the request is fully sent.
    ///
    /// # Errors
    ///
    /// [`ExchangeError`] when the connection fails or what comes is no complete answer.
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

    /// Reads one more answer, after one that belonged to no request.
    ///
    /// # Errors
    ///
    /// [`ExchangeError`] when the connection fails or what comes is no complete answer.
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
    reader: &mut ReadHalf<'_>,
    buffer: &mut BytesMut,
    is_head_request: bool,
) -> Result<Received, ExchangeFailure> {
    let head = receive_head(reader, buffer).await?;
    let length = BodyLength::of_response(&head, is_head_request)?;
    let body = receive_body(reader, buffer, length).await?;
    let goes_on = length != BodyLength::UntilClose && !head.closes();
    Ok(Received {
        head,
        body,
        goes_on,
        reusable: goes_on,
    })
}

/// Reads the head of the final answer; interim ones (100 to 199) are passed over.
async fn receive_head(
    reader: &mut ReadHalf<'_>,
    buffer: &mut BytesMut,
) -> Result<ResponseHead, ExchangeFailure> {
    loop {
        match ResponseHead::take(buffer, MAX_HEAD_BYTES)? {
            Some(head) if (100..=199).contains(&head.status) && head.status != 101 => {}
            Some(head) => return Ok(head),
            None => read_more(reader, buffer).await?,
        }
    }
}

async fn receive_body(
    reader: &mut ReadHalf<'_>,
    buffer: &mut BytesMut,
    length: BodyLength,
) -> Result<Bytes, ExchangeFailure> {
    let mut body = BodyReader::new(length, MAX_BODY_BYTES)?;
    while !body.read(buffer)? {
        match read_more(reader, buffer).await {
            Err(ExchangeFailure::Closed) if body.ends_at_close() => break,
            read => read?,
        }
    }
    Ok(body.into_body().into())
}

async fn read_more(
    reader: &mut ReadHalf<'_>,
    buffer: &mut BytesMut,
) -> Result<(), ExchangeFailure> {
    buffer.reserve(READ_BYTES);
    match reader.read_buf(buffer).await? {
        0 => Err(ExchangeFailure::Closed),
        _ => Ok(()),
    }
}
