//! Heads of requests and answers: taking them off a buffer, within bounds.

use bytes::{Buf, BytesMut};

use super::headers::HeaderLines;

/// Most header lines of a message. Origin not recorded.
const MAX_HEADERS: usize = 96;

/// Why a head can't be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// The bytes are no head of HTTP/1.1.
    #[error("malformed message head")]
    Malformed,
    /// The head is larger than the limit, or has too many lines.
    #[error("message head above its limit")]
    TooLarge,
}

/// Head of a request.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// The method, as it came.
    pub method: String,
    /// Path and query, as they came.
    pub target: String,
    /// Whether the request is of HTTP/1.1; otherwise it is of 1.0.
    pub is_version_1_1: bool,
    /// Its header lines.
    pub headers: HeaderLines,
}

impl RequestHead {
    /// Takes a head off the buffer; `None` while it is not complete.
    ///
    /// # Errors
    ///
    /// [`HeadError`] when the bytes can't become a head, or not one within `max_bytes`.
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

    /// Whether the sender will not use the connection after this request.
    #[must_use]
    pub fn closes(&self) -> bool {
        closes(&self.headers, self.is_version_1_1)
    }
}

/// Head of an answer.
#[derive(Debug, Clone)]
pub struct ResponseHead {
    /// The status.
    pub status: u16,
    /// Whether the answer is of HTTP/1.1; otherwise it is of 1.0.
    pub is_version_1_1: bool,
    /// Its header lines.
    pub headers: HeaderLines,
}

impl ResponseHead {
    /// Takes a head off the buffer; `None` while it is not complete.
    ///
    /// # Errors
    ///
    /// [`HeadError`] when the bytes can't become a head, or not one within `max_bytes`.
    pub fn take(buffer: &mut BytesMut, max_bytes: usize) -> Result<Option<Self>, HeadError> {
        let prefix = b"HTTP/1.";
        let compared = prefix.len().min(buffer.len());
        if buffer[..compared] != prefix[..compared] {
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
        Ok(Some(Self {
            status,
            is_version_1_1: version == 1,
            headers: HeaderLines::new(bytes.clone(), response.headers),
        }))
    }

    /// Whether the sender will close the connection after this answer.
    #[must_use]
    pub fn closes(&self) -> bool {
        closes(&self.headers, self.is_version_1_1)
    }
}

/// Whether the sender of a head closes the connection after its message. Connections of HTTP/1.0
/// close unless they announce otherwise (RFC 9112, section 9.3).
fn closes(headers: &HeaderLines, is_version_1_1: bool) -> bool {
    let close = headers.has_token("connection", "close");
    let keep = headers.has_token("connection", "keep-alive");
    close || (!is_version_1_1 && !keep)
}

fn require_complete(parsed: httparse::Result<usize>) -> Result<(), HeadError> {
    match parsed {
        Ok(httparse::Status::Complete(_)) => Ok(()),
        Ok(httparse::Status::Partial) => Err(HeadError::Malformed),
        Err(httparse::Error::TooManyHeaders) => Err(HeadError::TooLarge),
        Err(_) => Err(HeadError::Malformed),
    }
}

/// Empty lines before a request are allowed (RFC 9112, section 2.2).
fn skip_empty_lines(buffer: &mut BytesMut) {
    while buffer.starts_with(b"\r\n") {
        buffer.advance(2);
    }
}

/// Length of the head with its empty line, once that is there.
fn head_length(buffer: &BytesMut, max_bytes: usize) -> Result<Option<usize>, HeadError> {
    let end = buffer.windows(4).position(|part| part == b"\r\n\r\n");
    match end {
        Some(end) if end + 4 > max_bytes => Err(HeadError::TooLarge),
        Some(end) => Ok(Some(end + 4)),
        None if buffer.len() > max_bytes => Err(HeadError::TooLarge),
        None => Ok(None),
    }
}
