//! HTTP client connection that sends one request at a time and reads complete responses.

use std::io;

use bytes::{Bytes, BytesMut};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpStream, tcp::ReadHalf},
};

use super::{
    BodyLength, BodyReader, ExchangeError, ResponseHead, exchange_error::ExchangeFailure,
    head::is_final_status,
};
use crate::memory::{MemoryBudget, MemoryShare, MemoryUse};

const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Equals the default limit for request bodies.
const DEFAULT_MAX_BODY_BYTES: usize = 64 << 20;
const MAX_INTERIM_RESPONSES: usize = 16;
const SWITCHING_PROTOCOLS_STATUS: u16 = 101;
/// Buffer space reserved before each read.
const READ_BUFFER_BYTES: usize = 8 * 1024;
/// Part of a body that counts only once the body is complete. The slots of the back end bound the number of
/// incomplete ones, so that those which stall leave room for others.
const UNCOUNTED_BYTES: usize = 64 * 1024;

/// Limits on the memory that responses take while they are being read.
#[derive(Debug, Clone)]
pub struct ResponseLimits {
    /// Size limit for the body of one response, without its transfer coding.
    pub max_body_bytes: usize,
    /// Memory that the response shares with others; `None` if only its own limit applies.
    pub budget: Option<MemoryBudget>,
}

impl Default for ResponseLimits {
    fn default() -> Self {
        Self {
            max_body_bytes: DEFAULT_MAX_BODY_BYTES,
            budget: None,
        }
    }
}

/// A client connection to an HTTP server. The buffer holds bytes that no response has consumed yet.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    limits: ResponseLimits,
}

/// A complete response, and what may follow it on its connection.
#[derive(Debug)]
pub struct ReceivedResponse {
    /// Status line and header lines.
    pub head: ResponseHead,
    /// Complete body, without its transfer coding.
    pub body: Bytes,
    /// Whether the body ended with the connection. The end of the server's process closes its
    /// connections as well, so such a body may be incomplete.
    pub ended_by_close: bool,
    /// Whether the server may send another response on the connection: the response had a length or
    /// chunks and did not announce a close.
    pub is_persistent: bool,
    /// Whether the connection may carry another request: the server keeps the connection open, the
    /// request was sent completely before the response ended, and no bytes follow the response.
    pub is_reusable: bool,
}

impl Connection {
    /// Wraps an open stream on which no request is in progress, with the default limits.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        Self::with_limits(stream, ResponseLimits::default())
    }

    /// Wraps an open stream on which no request is in progress.
    #[must_use]
    pub fn with_limits(stream: TcpStream, limits: ResponseLimits) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
            limits,
        }
    }

    /// Returns `true` if the server has neither closed the connection nor sent bytes since the last
    /// response.
    #[must_use]
    pub fn is_open_and_idle(&self) -> bool {
        if !self.buffer.is_empty() {
            return false;
        }
        let mut byte = [0_u8; 1];
        match self.stream.try_read(&mut byte) {
            Err(error) => error.kind() == io::ErrorKind::WouldBlock,
            Ok(_) => false,
        }
    }

    /// Sends a request and reads the complete response, which may arrive before the request is fully
    /// sent.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError`] if the connection fails or the response is malformed or incomplete.
    pub async fn exchange(
        &mut self,
        request: &[u8],
        body: &[u8],
        is_head_request: bool,
    ) -> Result<ReceivedResponse, ExchangeError> {
        let written = self.stream.write(request).await;
        let written = written.map_err(ExchangeError::not_sent)?;
        let Self {
            stream,
            buffer,
            limits,
        } = self;
        let (mut reader, mut writer) = stream.split();
        let mut is_sent = false;
        let received = {
            let sending = async {
                writer.write_all(&request[written..]).await?;
                writer.write_all(body).await
            };
            let receiving = receive_response(&mut reader, buffer, limits, is_head_request);
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
        received.is_reusable &= is_sent && buffer.is_empty();
        Ok(received)
    }

    /// Reads another response without sending a request, after a response that belongs to a different
    /// request.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError`] if the connection fails or the response is malformed or incomplete.
    pub async fn next_response(
        &mut self,
        is_head_request: bool,
    ) -> Result<ReceivedResponse, ExchangeError> {
        let Self {
            stream,
            buffer,
            limits,
        } = self;
        let (mut reader, _writer) = stream.split();
        let received = receive_response(&mut reader, buffer, limits, is_head_request).await;
        let mut received = received.map_err(ExchangeError::sent)?;
        received.is_reusable &= buffer.is_empty();
        Ok(received)
    }
}

async fn receive_response(
    reader: &mut ReadHalf<'_>,
    buffer: &mut BytesMut,
    limits: &ResponseLimits,
    is_head_request: bool,
) -> Result<ReceivedResponse, ExchangeFailure> {
    let head = receive_head(reader, buffer).await?;
    let length = BodyLength::from_response(&head, is_head_request)?;
    let body = receive_body(reader, buffer, limits, length).await?;
    let ended_by_close = length == BodyLength::UntilClose;
    let is_persistent = !ended_by_close && !head.closes_connection();
    Ok(ReceivedResponse {
        head,
        body,
        ended_by_close,
        is_persistent,
        is_reusable: is_persistent,
    })
}

/// Reads the head of the final response and skips interim responses.
async fn receive_head(
    reader: &mut ReadHalf<'_>,
    buffer: &mut BytesMut,
) -> Result<ResponseHead, ExchangeFailure> {
    let mut interim_responses = 0;
    loop {
        match ResponseHead::take(buffer, MAX_HEAD_BYTES)? {
            Some(head) if head.status == SWITCHING_PROTOCOLS_STATUS => {
                return Err(ExchangeFailure::SwitchedProtocols);
            }
            Some(head) if !is_final_status(head.status) => {
                interim_responses += 1;
                if interim_responses > MAX_INTERIM_RESPONSES {
                    return Err(ExchangeFailure::TooManyInterimResponses);
                }
            }
            Some(head) => return Ok(head),
            None => read_more(reader, buffer).await?,
        }
    }
}

async fn receive_body(
    reader: &mut ReadHalf<'_>,
    buffer: &mut BytesMut,
    limits: &ResponseLimits,
    length: BodyLength,
) -> Result<Bytes, ExchangeFailure> {
    let mut body = BodyReader::new(length, limits.max_body_bytes)?;
    let budget = limits.budget.as_ref();
    let mut share = budget.map(|budget| budget.begin(MemoryUse::Answer));
    while !body.read(buffer)? {
        grow(&mut share, body.len().saturating_sub(UNCOUNTED_BYTES))?;
        match read_more(reader, buffer).await {
            Err(ExchangeFailure::Closed) if body.ends_at_close() => break,
            read => read?,
        }
    }
    grow(&mut share, body.len())?;
    let body = Bytes::from(body.into_body());
    Ok(match share {
        Some(share) => share.hold(body),
        None => body,
    })
}

/// Takes the memory of a body that has grown to `bytes`, if its memory is limited.
fn grow(share: &mut Option<MemoryShare>, bytes: usize) -> Result<(), ExchangeFailure> {
    let has_room = share.as_mut().is_none_or(|share| share.grow_to(bytes));
    has_room
        .then_some(())
        .ok_or(ExchangeFailure::OutOfMemoryBudget)
}

async fn read_more(
    reader: &mut ReadHalf<'_>,
    buffer: &mut BytesMut,
) -> Result<(), ExchangeFailure> {
    buffer.reserve(READ_BUFFER_BYTES);
    match reader.read_buf(buffer).await? {
        0 => Err(ExchangeFailure::Closed),
        _ => Ok(()),
    }
}
