//! Reads complete requests from the connection of a caller.

use std::{io, net::SocketAddr};

use bytes::BytesMut;
use tokio::{io::AsyncReadExt, net::TcpStream};

use super::{HttpLimits, Request};
use crate::{
    clock::BootInstant,
    http::{BodyError, BodyLength, BodyReader, HeadError, RequestHead},
};

/// The server stops reading while this many bytes of requests wait behind the running requests.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;
/// Buffer space reserved before each read.
const READ_BUFFER_BYTES: usize = 4 * 1024;

/// Buffers the bytes of a connection until they form a complete request.
pub(super) struct RequestReader {
    caller: SocketAddr,
    buffer: BytesMut,
    /// A request with a complete head and an incomplete body.
    partial: Option<PartialRequest>,
}

struct PartialRequest {
    head: RequestHead,
    body: BodyReader,
}

/// Reason why a request is invalid.
#[derive(Debug, Clone, Copy)]
pub(super) enum RequestError {
    Head(HeadError),
    Body(BodyError),
}

impl RequestReader {
    pub fn new(caller: SocketAddr) -> Self {
        Self {
            caller,
            buffer: BytesMut::new(),
            partial: None,
        }
    }

    /// Reads available bytes and returns their number, which is 0 once the caller has closed the
    /// connection.
    pub async fn read_some(&mut self, stream: &mut TcpStream) -> io::Result<usize> {
        self.buffer.reserve(READ_BUFFER_BYTES);
        stream.read_buf(&mut self.buffer).await
    }

    /// Removes the next request from the buffer, or returns `None` if the request is incomplete.
    pub fn take(&mut self, limits: &HttpLimits) -> Result<Option<Request>, RequestError> {
        let partial = match self.partial.take() {
            Some(partial) => Some(partial),
            None => self.take_head(limits)?,
        };
        let Some(mut partial) = partial else {
            return Ok(None);
        };
        let is_complete = partial.body.read(&mut self.buffer);
        if !is_complete.map_err(RequestError::Body)? {
            self.partial = Some(partial);
            return Ok(None);
        }
        Ok(Some(Request {
            head: partial.head,
            body: partial.body.into_body().into(),
            arrived: BootInstant::earliest_arrival(),
            caller: self.caller,
        }))
    }

    fn take_head(&mut self, limits: &HttpLimits) -> Result<Option<PartialRequest>, RequestError> {
        let head = RequestHead::take(&mut self.buffer, limits.max_header_bytes);
        let Some(head) = head.map_err(RequestError::Head)? else {
            return Ok(None);
        };
        let length = BodyLength::from_request(&head);
        let body = length.and_then(|length| BodyReader::new(length, limits.max_body_bytes));
        let body = body.map_err(RequestError::Body)?;
        Ok(Some(PartialRequest { head, body }))
    }

    /// Returns `true` if no byte of the next request has been read.
    pub fn is_empty(&self) -> bool {
        self.partial.is_none() && self.buffer.is_empty()
    }

    /// Returns `true` while the body of a request is incomplete.
    pub const fn is_in_body(&self) -> bool {
        self.partial.is_some()
    }

    /// Returns `true` if the buffer accepts more bytes.
    pub fn has_room(&self) -> bool {
        self.buffer.len() < MAX_READ_AHEAD_BYTES || self.is_in_body()
    }

    /// Returns `true` if the caller waits for `100 Continue` before sending the body.
    pub fn awaits_continue(&self) -> bool {
        self.partial.as_ref().is_some_and(|partial| {
            partial.body.is_empty() && partial.head.headers.has_token("expect", "100-continue")
        })
    }

    /// Drops all buffered bytes and any incomplete request.
    pub fn discard(&mut self) {
        self.partial = None;
        self.buffer.clear();
    }
}

impl RequestError {
    /// Returns the HTTP status code of the error response.
    pub const fn status(self) -> u16 {
        match self {
            Self::Head(HeadError::Malformed | HeadError::InvalidStatus(_))
            | Self::Body(BodyError::Malformed) => 400,
            Self::Head(HeadError::TooLarge) => 431,
            Self::Body(BodyError::TooLarge) => 413,
        }
    }
}
