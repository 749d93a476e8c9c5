//! Parses the heads of requests and responses from a buffer, within size limits.

use std::ops::RangeInclusive;

use bytes::{Buf, BytesMut};

use super::headers::HeaderLines;

const MAX_HEADERS: usize = 96;
/// Statuses that have a meaning (RFC 9110, section 15).
const VALID_STATUSES: RangeInclusive<u16> = 100..=599;
/// Statuses that end an exchange, unlike those of interim responses and of a switch of protocols.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Returns whether a status is that of a final response, which a caller may receive.
#[must_use]
pub fn is_final_status(status: u16) -> bool {
    FINAL_STATUSES.contains(&status)
}

/// Reason why a message head cannot be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// The bytes are not a valid HTTP/1.x message head.
    #[error("malformed message head")]
    Malformed,
    /// The status of a response, given here, is outside 100 to 599.
    #[error("status {0:03} is outside 100 to 599")]
    InvalidStatus(u16),
    /// The head exceeds the size limit or has too many header lines.
    #[error("message head exceeds its size limit")]
    TooLarge,
}

/// Request line and header lines of a request.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// Method, case-sensitive.
    pub method: String,
    /// Request target as received, normally path and query.
    pub target: String,
    /// `true` for HTTP/1.1, `false` for HTTP/1.0.
    pub is_version_1_1: bool,
    /// Header lines in the order received.
    pub headers: HeaderLines,
}

impl RequestHead {
    /// Removes a head from the buffer and parses it. Returns `None` if the head is incomplete.
    ///
    /// # Errors
    ///
    /// Returns [`HeadError`] if the bytes are not the start of a valid head, or if the head exceeds
    /// `max_bytes`.
    pub fn take(buffer: &mut BytesMut, max_bytes: usize) -> Result<Option<Self>, HeadError> {
        skip_empty_lines(buffer);
        let Some(length) = head_length(buffer, max_bytes)? else {
            return Ok(None);
        };
        let bytes = buffer.split_to(length).freeze();
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        require_complete(request.parse(&bytes))?;
        let (Some(method), Some(target), Some(version)) =
            (request.method, request.path, request.version)
        else {
            return Err(HeadError::Malformed);
        };
        Ok(Some(Self {
            method: method.to_owned(),
            target: target.to_owned(),
            is_version_1_1: version == 1,
            headers: HeaderLines::new(bytes.clone(), request.headers),
        }))
    }

    /// Returns `true` if the caller sends no further requests on the connection.
    #[must_use]
    pub fn closes_connection(&self) -> bool {
        closes_connection(&self.headers, self.is_version_1_1)
    }
}

/// Status line and header lines of a response.
#[derive(Debug, Clone)]
pub struct ResponseHead {
    /// HTTP status code.
    pub status: u16,
    /// `true` for HTTP/1.1, `false` for HTTP/1.0.
    pub is_version_1_1: bool,
    /// Header lines in the order received.
    pub headers: HeaderLines,
}

impl ResponseHead {
    /// Removes a head from the buffer and parses it. Returns `None` if the head is incomplete.
    ///
    /// # Errors
    ///
    /// Returns [`HeadError`] if the bytes are not the start of a valid head, or if the head exceeds
    /// `max_bytes`.
    pub fn take(buffer: &mut BytesMut, max_bytes: usize) -> Result<Option<Self>, HeadError> {
        let prefix = b"HTTP/1.";
        let prefix_length = prefix.len().min(buffer.len());
        if buffer[..prefix_length] != prefix[..prefix_length] {
            return Err(HeadError::Malformed);
        }
        let Some(length) = head_length(buffer, max_bytes)? else {
            return Ok(None);
        };
        let bytes = buffer.split_to(length).freeze();
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        require_complete(response.parse(&bytes))?;
        let (Some(status), Some(version)) = (response.code, response.version) else {
            return Err(HeadError::Malformed);
        };
        if !VALID_STATUSES.contains(&status) {
            return Err(HeadError::InvalidStatus(status));
        }
        Ok(Some(Self {
            status,
            is_version_1_1: version == 1,
            headers: HeaderLines::new(bytes.clone(), response.headers),
        }))
    }

    /// Returns `true` if the server closes the connection after this response.
    #[must_use]
    pub fn closes_connection(&self) -> bool {
        closes_connection(&self.headers, self.is_version_1_1)
    }
}

/// Returns `true` if the connection closes after the message. An HTTP/1.0 connection closes unless
/// the sender requests keep-alive (RFC 9112, section 9.3).
fn closes_connection(headers: &HeaderLines, is_version_1_1: bool) -> bool {
    let close = headers.has_token("connection", "close");
    let keep_alive = headers.has_token("connection", "keep-alive");
    close || (!is_version_1_1 && !keep_alive)
}

fn require_complete(parsed: httparse::Result<usize>) -> Result<(), HeadError> {
    match parsed {
        Ok(httparse::Status::Complete(_)) => Ok(()),
        Ok(httparse::Status::Partial) => Err(HeadError::Malformed),
        Err(httparse::Error::TooManyHeaders) => Err(HeadError::TooLarge),
        Err(_) => Err(HeadError::Malformed),
    }
}

/// Skips empty lines, which a client may send before a request (RFC 9112, section 2.2).
fn skip_empty_lines(buffer: &mut BytesMut) {
    while buffer.starts_with(b"\r\n") {
        buffer.advance(2);
    }
}

/// Returns the length of the head including its empty line, or `None` if the head is incomplete.
fn head_length(buffer: &BytesMut, max_bytes: usize) -> Result<Option<usize>, HeadError> {
    let end = buffer.windows(4).position(|window| window == b"\r\n\r\n");
    match end {
        Some(end) if end + 4 > max_bytes => Err(HeadError::TooLarge),
        Some(end) => Ok(Some(end + 4)),
        None if buffer.len() > max_bytes => Err(HeadError::TooLarge),
        None => Ok(None),
    }
}
