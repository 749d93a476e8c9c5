//! Determines the length of a message body from its head (RFC 9112, section 6.3).
//!
//! Rejects framing that two recipients could interpret differently, which prevents request
//! smuggling.

use super::{HeaderLines, RequestHead, ResponseHead};

/// Reason why a body cannot be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The length headers contradict each other, or a chunk is malformed.
    #[error("malformed message body framing")]
    Malformed,
    /// The body or its trailer section exceeds the size limit.
    #[error("message body exceeds its size limit")]
    TooLarge,
}

/// How a recipient finds the end of a message body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyLength {
    /// The body has this many bytes.
    Sized(u64),
    /// The body uses the chunked transfer coding.
    Chunked,
    /// The body ends when the sender closes the connection.
    UntilClose,
}

impl BodyLength {
    /// Returns the framing of a request body. A request without length headers has an empty body.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError::Malformed`] if the length headers are contradictory or unreadable.
    pub fn from_request(head: &RequestHead) -> Result<Self, BodyError> {
        let chunked = is_chunked(&head.headers)?;
        let sized = content_length(&head.headers)?;
        match (chunked, sized) {
            (true, None) if head.is_version_1_1 => Ok(Self::Chunked),
            (true, _) => Err(BodyError::Malformed),
            (false, length) => Ok(Self::Sized(length.unwrap_or(0))),
        }
    }

    /// Returns the framing of a response body. Responses to `HEAD` requests never have a body.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError::Malformed`] if the length headers are contradictory or unreadable.
    pub fn from_response(head: &ResponseHead, to_head_request: bool) -> Result<Self, BodyError> {
        if to_head_request || matches!(head.status, 100..=199 | 204 | 304) {
            return Ok(Self::Sized(0));
        }
        let chunked = is_chunked(&head.headers)?;
        let sized = content_length(&head.headers)?;
        match (chunked, sized) {
            (true, None) => Ok(Self::Chunked),
            (true, Some(_)) => Err(BodyError::Malformed),
            (false, Some(length)) => Ok(Self::Sized(length)),
            (false, None) => Ok(Self::UntilClose),
        }
    }
}

fn is_chunked(headers: &HeaderLines) -> Result<bool, BodyError> {
    let mut values = headers.all("transfer-encoding");
    match (values.next(), values.next()) {
        (None, _) => Ok(false),
        (Some(value), None) if value.trim_ascii().eq_ignore_ascii_case(b"chunked") => Ok(true),
        _ => Err(BodyError::Malformed),
    }
}

fn content_length(headers: &HeaderLines) -> Result<Option<u64>, BodyError> {
    let mut length = None;
    for value in headers.all("content-length") {
        let value = parse_decimal(value.trim_ascii()).ok_or(BodyError::Malformed)?;
        if length
            .replace(value)
            .is_some_and(|previous| previous != value)
        {
            return Err(BodyError::Malformed);
        }
    }
    Ok(length)
}

fn parse_decimal(digits: &[u8]) -> Option<u64> {
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(digits).ok()?.parse().ok()
}
