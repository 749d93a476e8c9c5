//! Heads of requests and answers.

use std::ops::Range;

use bytes::{Bytes, BytesMut};

/// Most header lines of a message.
const MAX_HEADERS: usize = 96;

/// Headers that concern one connection only and are never passed on.
const CONNECTION_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

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

/// Header lines of one message, kept as the bytes that came.
#[derive(Debug, Clone)]
pub struct HeaderLines {
    bytes: Bytes,
    lines: Vec<HeaderLine>,
}

#[derive(Debug, Clone)]
struct HeaderLine {
    name: Range<usize>,
    value: Range<usize>,
}

impl HeaderLines {
    fn new(bytes: Bytes, headers: &[httparse::Header<'_>]) -> Self {
        let start = bytes.as_ptr() as usize;
        let range = |part: &[u8]| {
            let from = part.as_ptr() as usize - start;
            from..from + part.len()
        };
        let lines = headers
            .iter()
            .map(|header| HeaderLine {
                name: range(header.name.as_bytes()),
                value: range(header.value),
            })
            .collect();
        Self { bytes, lines }
    }

    /// All lines as name and value, in the order in which they came.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.lines.iter().map(|line| {
            let name = &self.bytes[line.name.clone()];
            let name = std::str::from_utf8(name).unwrap_or_default();
            (name, &self.bytes[line.value.clone()])
        })
    }

    /// The values of all lines of a name, whatever its case.
    pub fn all(&self, name: &str) -> impl Iterator<Item = &[u8]> {
        self.iter()
            .filter(move |(line, _)| line.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// The value of the first line of a name.
    #[must_use]
    pub fn first(&self, name: &str) -> Option<&[u8]> {
        let mut values = self.iter();
        values
            .find(|(line, _)| line.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// The value of the first line of a name, as text.
    #[must_use]
    pub fn text(&self, name: &str) -> Option<&str> {
        self.first(name)
            .and_then(|value| std::str::from_utf8(value).ok())
            .map(str::trim)
    }

    /// Whether a comma-separated header holds a token, whatever its case.
    #[must_use]
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name)
            .filter_map(|value| std::str::from_utf8(value).ok())
            .flat_map(|value| value.split(','))
            .any(|part| part.trim().eq_ignore_ascii_case(token))
    }

    /// Writes the lines that are passed on: those of the connection and those of `dropped` are not.
    pub fn write_end_to_end(&self, dropped: &[&str], out: &mut Vec<u8>) {
        for (name, value) in self.iter() {
            if self.is_of_connection(name) || is_one_of(name, dropped) {
                continue;
            }
            write_line(name, value, out);
        }
    }

    fn is_of_connection(&self, name: &str) -> bool {
        is_one_of(name, &CONNECTION_HEADERS)
            || name.eq_ignore_ascii_case("content-length")
            || (!name.eq_ignore_ascii_case("host") && self.has_token("connection", name))
    }
}

fn is_one_of(name: &str, names: &[&str]) -> bool {
    names.iter().any(|other| name.eq_ignore_ascii_case(other))
}

/// Writes one header line.
pub fn write_line(name: &str, value: &[u8], out: &mut Vec<u8>) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
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
    /// Takes a head off the buffer; `None` while it is not whole.
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
        match request.parse(&bytes).map_err(head_error)? {
            httparse::Status::Complete(_) => {}
            httparse::Status::Partial => return Err(HeadError::Malformed),
        }
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
        let close = self.headers.has_token("connection", "close");
        let keep = self.headers.has_token("connection", "keep-alive");
        close || (!self.is_version_1_1 && !keep)
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
    /// Takes a head off the buffer; `None` while it is not whole.
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
        match response.parse(&bytes).map_err(head_error)? {
            httparse::Status::Complete(_) => {}
            httparse::Status::Partial => return Err(HeadError::Malformed),
        }
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
        let close = self.headers.has_token("connection", "close");
        let keep = self.headers.has_token("connection", "keep-alive");
        close || (!self.is_version_1_1 && !keep)
    }
}

fn head_error(error: httparse::Error) -> HeadError {
    match error {
        httparse::Error::TooManyHeaders => HeadError::TooLarge,
        _ => HeadError::Malformed,
    }
}

/// Empty lines before a request are allowed (RFC 9112, section 2.2).
fn skip_empty_lines(buffer: &mut BytesMut) {
    while buffer.starts_with(b"\r\n") {
        let _ = buffer.split_to(2);
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
