//! Responses to callers, and how the server writes them to a connection.

use std::io;

use bytes::Bytes;
use tokio::{io::AsyncWriteExt, net::TcpStream};

use super::headers::write_line;
use crate::memory::{Claim, MemoryShare};

/// Largest body that is copied behind the head so that one write sends both.
const MAX_COALESCED_BODY_BYTES: usize = 64 * 1024;

/// A complete HTTP response to a caller.
#[derive(Debug, Clone)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Header lines, each terminated by CR LF. The server adds `Content-Length` and `Connection`.
    pub headers: Vec<u8>,
    /// Complete body. The server omits it from the response to a `HEAD` request.
    pub body: Bytes,
}

impl Response {
    /// Creates a response without header lines.
    #[must_use]
    pub fn new(status: u16, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: body.into(),
        }
    }

    /// Appends a header line and returns the response.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        write_line(name, value.as_bytes(), &mut self.headers);
        self
    }
}

/// A response that is ready to be written.
pub(super) struct PendingResponse<G> {
    pub response: Response,
    /// Whether the request was a `HEAD` request.
    pub is_head_request: bool,
    /// Guard of the request; `None` if the server rejected the request itself.
    pub _guard: Option<G>,
    /// What the connection gives up of the response when the budget needs it.
    pub _claim: Option<Claim>,
    /// Memory of the request, except for its body.
    pub _share: Option<MemoryShare>,
}

impl<G> PendingResponse<G> {
    /// Creates the response to a request that the server does not pass to its handler.
    pub const fn rejection(response: Response) -> Self {
        Self {
            response,
            is_head_request: false,
            _guard: None,
            _claim: None,
            _share: None,
        }
    }

    /// Writes the response. `closes_connection` adds a `Connection: close` header.
    pub async fn write(&self, stream: &mut TcpStream, closes_connection: bool) -> io::Result<()> {
        let body = &self.response.body;
        let has_body = !self.is_head_request && self.may_have_body();
        let is_coalesced = has_body && body.len() <= MAX_COALESCED_BODY_BYTES;
        let body_capacity = if is_coalesced { body.len() } else { 0 };
        let mut bytes = self.serialize_head(closes_connection, body_capacity);
        if is_coalesced {
            bytes.extend_from_slice(body);
            return stream.write_all(&bytes).await;
        }
        stream.write_all(&bytes).await?;
        if has_body {
            stream.write_all(body).await?;
        }
        Ok(())
    }

    /// Returns the serialized head in a buffer with capacity for `body_capacity` more bytes.
    fn serialize_head(&self, closes_connection: bool, body_capacity: usize) -> Vec<u8> {
        let response = &self.response;
        let mut bytes = Vec::with_capacity(256 + response.headers.len() + body_capacity);
        bytes.extend_from_slice(b"HTTP/1.1 ");
        bytes.extend_from_slice(response.status.to_string().as_bytes());
        bytes.push(b' ');
        bytes.extend_from_slice(reason_phrase(response.status).as_bytes());
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(&response.headers);
        if self.may_have_body() {
            let length = response.body.len().to_string();
            write_line("Content-Length", length.as_bytes(), &mut bytes);
        }
        if closes_connection {
            write_line("Connection", b"close", &mut bytes);
        }
        bytes.extend_from_slice(b"\r\n");
        bytes
    }

    /// Returns `false` for statuses whose responses never have a body (RFC 9110, section 6.4.1).
    const fn may_have_body(&self) -> bool {
        !matches!(self.response.status, 204 | 304)
    }
}

/// Returns the reason phrase of a status code. HTTP clients ignore the phrase.
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
