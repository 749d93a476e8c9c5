//! Answers to callers, and how they are written.

use std::io;

use bytes::Bytes;
use tokio::{io::AsyncWriteExt, net::TcpStream};

use super::headers::write_line;

/// Most bytes of a body that are copied behind the head, so that both are written in one call. Origin
/// not recorded.
const JOINED_BODY_BYTES: usize = 64 * 1024;

/// An answer to a caller.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// Its header lines, each ended by CR LF, without those that frame the message.
    pub headers: Vec<u8>,
    /// Its complete body.
    pub body: Bytes,
}

impl Answer {
    /// An answer without header lines.
    #[must_use]
    pub fn new(status: u16, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: body.into(),
        }
    }

    /// The same answer with one more header line.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        write_line(name, value.as_bytes(), &mut self.headers);
        self
    }
}

/// An answer with what its request says of its form.
pub(super) struct PendingAnswer {
    /// The answer.
    pub answer: Answer,
    /// Whether it goes without its body.
    pub is_head_request: bool,
}

impl PendingAnswer {
    /// Writes the answer; `closes` announces the end of the connection.
    pub async fn write(&self, stream: &mut TcpStream, closes: bool) -> io::Result<()> {
        let body = &self.answer.body;
        let has_body = !self.is_head_request && self.may_have_body();
        let mut bytes = self.head(closes);
        if has_body && body.len() <= JOINED_BODY_BYTES {
            bytes.extend_from_slice(body);
            return stream.write_all(&bytes).await;
        }
        stream.write_all(&bytes).await?;
        if has_body {
            stream.write_all(body).await?;
        }
        Ok(())
    }

    /// The head, with room for the body behind it.
    fn head(&self, closes: bool) -> Vec<u8> {
        let answer = &self.answer;
        let mut bytes = Vec::with_capacity(256 + answer.headers.len() + answer.body.len());
        bytes.extend_from_slice(b"HTTP/1.1 ");
        bytes.extend_from_slice(answer.status.to_string().as_bytes());
        bytes.push(b' ');
        bytes.extend_from_slice(reason_phrase(answer.status).as_bytes());
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(&answer.headers);
        if self.may_have_body() {
            let length = answer.body.len().to_string();
            write_line("Content-Length", length.as_bytes(), &mut bytes);
        }
        if closes {
            write_line("Connection", b"close", &mut bytes);
        }
        bytes.extend_from_slice(b"\r\n");
        bytes
    }

    /// Answers of these statuses never have a body (RFC 9110, section 6.4.1).
    const fn may_have_body(&self) -> bool {
        !matches!(self.answer.status, 204 | 304)
    }
}

/// The phrase of a status; callers look at the number alone.
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
