//! Reads complete requests from the connection of a caller.

use std::{io, net::SocketAddr};

use bytes::BytesMut;
use tokio::{io::AsyncReadExt, net::TcpStream};

use super::{HttpLimits, Request};
use crate::{
    clock::BootInstant,
    http::{BodyError, BodyLength, BodyReader, HeadError, RequestHead},
    memory::{Client, MemoryBudget, MemoryShare, MemoryUse},
};

/// The server stops reading while this many bytes of requests wait behind the running requests.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;
/// Buffer space reserved before each read.
const READ_BUFFER_BYTES: usize = 4 * 1024;
/// Memory of a request besides its head and body: its task and its place in the tables.
const REQUEST_OVERHEAD_BYTES: usize = 4 * 1024;
/// Copies of its head that a request holds: as received, as forwarded, and as queued on a link.
const HEAD_COPIES: usize = 4;

/// Buffers the bytes of a connection until they form a complete request.
pub(super) struct RequestReader {
    caller: SocketAddr,
    budget: MemoryBudget,
    buffer: BytesMut,
    /// Memory of the buffer.
    buffer_share: MemoryShare,
    /// A request with a complete head and an incomplete body.
    partial: Option<PartialRequest>,
    /// Whether `100 Continue` was sent for the incomplete request.
    has_continued: bool,
}

struct PartialRequest {
    head: RequestHead,
    body: BodyReader,
    /// Bytes that the request holds besides its body.
    overhead_bytes: usize,
    share: MemoryShare,
}

/// A complete request, and the memory that it holds besides its body.
pub(super) struct CompleteRequest {
    pub request: Request,
    pub share: MemoryShare,
}

/// Reason why a request cannot be read.
#[derive(Debug, Clone, Copy)]
pub(super) enum RequestError {
    /// The request is invalid; the status of its response.
    Invalid(u16),
    /// The node has no memory for the request.
    OutOfMemoryBudget,
}

impl RequestReader {
    pub fn new(caller: SocketAddr, budget: MemoryBudget) -> Self {
        Self {
            caller,
            buffer: BytesMut::new(),
            buffer_share: budget.begin(MemoryUse::Request),
            partial: None,
            has_continued: false,
            budget,
        }
    }

    /// Reads available bytes and returns their number, which is 0 once the caller has closed the
    /// connection.
    pub async fn read_some(&mut self, stream: &mut TcpStream) -> io::Result<usize> {
        self.buffer.reserve(READ_BUFFER_BYTES);
        stream.read_buf(&mut self.buffer).await
    }

    /// Counts the buffered bytes. Returns `false` if the node has no memory for them.
    pub fn count_buffer(&mut self) -> bool {
        self.buffer_share.shrink_to(self.buffer.len());
        self.buffer_share.grow_to(self.buffer.len())
    }

    /// Removes the next request from the buffer, or returns `None` if the request is incomplete. Counts what
    /// the request holds as held by `client`.
    pub fn take(
        &mut self,
        limits: &HttpLimits,
        client: &Client,
    ) -> Result<Option<CompleteRequest>, RequestError> {
        let partial = match self.partial.take() {
            Some(partial) => Some(partial),
            None => self.take_head(limits, client)?,
        };
        let Some(mut partial) = partial else {
            return Ok(None);
        };
        let is_complete = partial.body.read(&mut self.buffer)?;
        self.buffer_share.shrink_to(self.buffer.len());
        let body_bytes = partial.body.len();
        if !partial.share.grow_to(partial.overhead_bytes + body_bytes) {
            return Err(RequestError::OutOfMemoryBudget);
        }
        if !is_complete {
            self.partial = Some(partial);
            return Ok(None);
        }
        self.has_continued = false;
        let body_share = partial.share.split(body_bytes);
        let overhead_share = partial.share.split(partial.overhead_bytes);
        let request = Request {
            head: partial.head,
            body: body_share.hold(partial.body.into_body().into()),
            arrived: BootInstant::earliest_arrival(),
            caller: self.caller,
        };
        Ok(Some(CompleteRequest {
            request,
            share: overhead_share,
        }))
    }

    fn take_head(
        &mut self,
        limits: &HttpLimits,
        client: &Client,
    ) -> Result<Option<PartialRequest>, RequestError> {
        let buffered_bytes = self.buffer.len();
        let Some(head) = RequestHead::take(&mut self.buffer, limits.max_header_bytes)? else {
            return Ok(None);
        };
        let length = BodyLength::from_request(&head)?;
        let body = BodyReader::new(length, limits.max_body_bytes)?;
        let head_bytes = buffered_bytes - self.buffer.len();
        Ok(Some(PartialRequest {
            head,
            body,
            overhead_bytes: REQUEST_OVERHEAD_BYTES + HEAD_COPIES * head_bytes,
            share: self.budget.begin_request_of(client),
        }))
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

    /// Returns `true` once for each request whose caller waits for `100 Continue` before it sends the body.
    pub fn starts_awaiting_continue(&mut self) -> bool {
        let awaits_continue = self.partial.as_ref().is_some_and(|partial| {
            partial.body.is_empty() && partial.head.headers.has_token("expect", "100-continue")
        });
        awaits_continue && !std::mem::replace(&mut self.has_continued, true)
    }

    /// Drops all buffered bytes and any incomplete request.
    pub fn discard(&mut self) {
        self.partial = None;
        self.buffer.clear();
        self.buffer_share.shrink_to(0);
    }
}

impl From<HeadError> for RequestError {
    fn from(error: HeadError) -> Self {
        Self::Invalid(match error {
            HeadError::Malformed | HeadError::InvalidStatus(_) => 400,
            HeadError::TooLarge => 431,
        })
    }
}

impl From<BodyError> for RequestError {
    fn from(error: BodyError) -> Self {
        Self::Invalid(match error {
            BodyError::Malformed => 400,
            BodyError::TooLarge => 413,
        })
    }
}
