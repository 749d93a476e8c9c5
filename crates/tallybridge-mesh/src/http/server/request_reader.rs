//! Takes complete requests off what a caller sends.

use std::{io, net::SocketAddr};

use bytes::BytesMut;
use tokio::{io::AsyncReadExt, net::TcpStream};

use super::{HttpLimits, Request};
use crate::{
    clock::BootInstant,
    http::{BodyError, BodyLength, BodyReader, HeadError, RequestHead},
};

/// Bytes of requests that may wait behind those that are worked on, before the connection is read no
/// further. Origin not recorded.
const MAX_READ_AHEAD: usize = 64 * 1024;
/// Room that is made for each read, in bytes. Origin not recorded.
const READ_BYTES: usize = 4 * 1024;

/// Bytes of a connection that belong to no complete request yet.
pub(super) struct RequestReader {
    caller: SocketAddr,
    buffer: BytesMut,
    /// A request whose head was read, but not all of its body.
    partial: Option<PartialRequest>,
}

struct PartialRequest {
    head: RequestHead,
    body: BodyReader,
}

/// Why what a caller sent is no request.
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

    /// Reads what has come; gives how many bytes, 0 when the caller has closed.
    pub async fn read_some(&mut self, stream: &mut TcpStream) -> io::Result<usize> {
        self.buffer.reserve(READ_BYTES);
        stream.read_buf(&mut self.buffer).await
    }

    /// Takes the next request; `None` until all of it is there.
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
        let length = BodyLength::of_request(&head);
        let body = length.and_then(|length| BodyReader::new(length, limits.max_body_bytes));
        let body = body.map_err(RequestError::Body)?;
        Ok(Some(PartialRequest { head, body }))
    }

    /// Whether nothing of a next request has come.
    pub fn is_empty(&self) -> bool {
        self.partial.is_none() && self.buffer.is_empty()
    }

    /// Whether the head of a request was read, but not all of its body.
    pub const fn is_in_body(&self) -> bool {
        self.partial.is_some()
    }

    /// Whether more may be read before requests are taken.
    pub fn has_room(&self) -> bool {
        self.buffer.len() < MAX_READ_AHEAD || self.is_in_body()
    }

    /// Whether a caller waits for the word that its body is wanted.
    pub fn awaits_continue(&self) -> bool {
        self.partial.as_ref().is_some_and(|partial| {
            partial.body.is_empty() && partial.head.headers.has_token("expect", "100-continue")
        })
    }

    /// Drops what has come.
    pub fn discard(&mut self) {
        self.partial = None;
        self.buffer.clear();
    }
}

impl RequestError {
    /// The HTTP status that it is answered with.
    pub const fn status(self) -> u16 {
        match self {
            Self::Head(HeadError::Malformed) | Self::Body(BodyError::Malformed) => 400,
            Self::Head(HeadError::TooLarge) => 431,
            Self::Body(BodyError::TooLarge) => 413,
        }
    }
}
