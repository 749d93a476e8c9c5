//! How the end of a body is known (RFC 9112, section 6.3).
//!
//! Anything that two readers could take for different lengths is refused, against request smuggling.

use super::{HeaderLines, RequestHead, ResponseHead};

/// Why a body can't be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// Its length is contradictory or its chunks are malformed.
    #[error("malformed body framing")]
    Malformed,
    /// It is larger than the limit.
    #[error("body above its limit")]
    TooLarge,
}

/// How the end of a body is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyLength {
    /// So many bytes.
    Sized(u64),
    /// In chunks.
    Chunked,
    /// It ends with its connection.
    UntilClose,
}

impl BodyLength {
    /// The framing of a request's body.
    ///
    /// # Errors
    ///
    /// [`BodyError::Malformed`] for contradictory or unreadable lengths.
    pub fn of_request(head: &RequestHead) -> Result<Self, BodyError> {
        let chunked = is_chunked(&head.headers)?;
        let sized = content_length(&head.headers)?;
        match (chunked, sized) {
            (true, None) if head.is_version_1_1 => Ok(Self::Chunked),
            (true, _) => Err(BodyError::Malformed),
            (false, length) => Ok(Self::Sized(length.unwrap_or(0))),
        }
    }

    /// The framing of an answer's body.
    ///
    /// # Errors
    ///
    /// [`BodyError::Malformed`] for contradictory or unreadable lengths.
    pub fn of_response(head: &ResponseHead, to_head_request: bool) -> Result<Self, BodyError> {
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
        if length.replace(value).is_some_and(|before| before != value) {
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
