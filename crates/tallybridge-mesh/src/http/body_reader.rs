//! Incremental reader of message bodies. The bytes may arrive in pieces of any size.

use bytes::{Buf, BytesMut};

use super::{BodyError, BodyLength};

/// Limit for the line that holds a chunk size and its extensions.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// Hexadecimal digits of a chunk size. A number of this length always fits in 64 bits.
const MAX_CHUNK_SIZE_DIGITS: usize = 15;
const MAX_TRAILER_BYTES: usize = 8 * 1024;

/// Reads one message body from a buffer that the caller fills.
#[derive(Debug)]
pub struct BodyReader {
    state: State,
    max_bytes: usize,
    body: Vec<u8>,
}

/// The part of the body that the reader expects next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Number of bytes that are still missing.
    Sized(u64),
    ChunkSize,
    /// Number of bytes of the chunk that are still missing.
    ChunkData(u64),
    ChunkEnd,
    /// Number of bytes of trailer lines read so far.
    Trailer(usize),
    UntilClose,
    Complete,
}

impl BodyReader {
    /// Creates a reader for a body of at most `max_bytes`.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError::TooLarge`] if the announced length exceeds the limit.
    pub fn new(length: BodyLength, max_bytes: usize) -> Result<Self, BodyError> {
        let state = match length {
            BodyLength::Sized(0) => State::Complete,
            BodyLength::Sized(length) if length > max_bytes as u64 => {
                return Err(BodyError::TooLarge);
            }
            BodyLength::Sized(length) => State::Sized(length),
            BodyLength::Chunked => State::ChunkSize,
            BodyLength::UntilClose => State::UntilClose,
        };
        Ok(Self {
            state,
            max_bytes,
            body: Vec::new(),
        })
    }

    /// Consumes the part of the body that the buffer holds. Returns `true` once the body is complete.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError`] if the framing is malformed or the body exceeds the limit.
    pub fn read(&mut self, buffer: &mut BytesMut) -> Result<bool, BodyError> {
        while self.state != State::Complete {
            match self.step(buffer)? {
                Some(next) => self.state = next,
                None => return Ok(false),
            }
        }
        Ok(true)
    }

    /// Returns the next state, or `None` if more bytes are needed first.
    fn step(&mut self, buffer: &mut BytesMut) -> Result<Option<State>, BodyError> {
        match self.state {
            State::Sized(remaining) => {
                self.take_remaining(buffer, remaining, State::Sized, State::Complete)
            }
            State::ChunkSize => read_chunk_size(buffer),
            State::ChunkData(remaining) => {
                self.take_remaining(buffer, remaining, State::ChunkData, State::ChunkEnd)
            }
            State::ChunkEnd => read_chunk_end(buffer),
            State::Trailer(trailer_bytes) => skip_trailer_line(buffer, trailer_bytes),
            State::UntilClose => {
                self.take_data(buffer, u64::MAX)?;
                Ok(None)
            }
            State::Complete => Ok(None),
        }
    }

    /// Consumes up to `remaining` bytes of data. Returns `next` once none are missing; until then,
    /// keeps the reader in `unfinished` with the number of missing bytes.
    fn take_remaining(
        &mut self,
        buffer: &mut BytesMut,
        remaining: u64,
        unfinished: fn(u64) -> State,
        next: State,
    ) -> Result<Option<State>, BodyError> {
        let remaining = self.take_data(buffer, remaining)?;
        if remaining == 0 {
            return Ok(Some(next));
        }
        self.state = unfinished(remaining);
        Ok(None)
    }

    /// Returns `true` if the body is complete when the sender closes the connection now.
    #[must_use]
    pub fn ends_at_close(&self) -> bool {
        matches!(self.state, State::UntilClose | State::Complete)
    }

    /// Returns `true` if no byte of the body has been read.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.body.is_empty()
    }

    /// Returns the number of bytes of the body read so far.
    #[must_use]
    pub fn len(&self) -> usize {
        self.body.len()
    }

    /// Returns the bytes read so far, which are the whole body once [`read`](Self::read) returned `true`.
    #[must_use]
    pub fn into_body(self) -> Vec<u8> {
        self.body
    }

    /// Consumes at most `remaining` bytes and returns how many are still missing.
    fn take_data(&mut self, buffer: &mut BytesMut, remaining: u64) -> Result<u64, BodyError> {
        let count = usize::try_from(remaining)
            .unwrap_or(usize::MAX)
            .min(buffer.len());
        if self.body.len() + count > self.max_bytes {
            return Err(BodyError::TooLarge);
        }
        self.body.extend_from_slice(&buffer[..count]);
        buffer.advance(count);
        Ok(remaining - count as u64)
    }
}

fn read_chunk_size(buffer: &mut BytesMut) -> Result<Option<State>, BodyError> {
    let Some(line) = take_line(buffer, MAX_CHUNK_LINE_BYTES)? else {
        return Ok(None);
    };
    Ok(Some(match parse_chunk_size(&line)? {
        0 => State::Trailer(0),
        size => State::ChunkData(size),
    }))
}

fn read_chunk_end(buffer: &mut BytesMut) -> Result<Option<State>, BodyError> {
    if buffer.len() < 2 {
        return Ok(None);
    }
    if &buffer[..2] != b"\r\n" {
        return Err(BodyError::Malformed);
    }
    buffer.advance(2);
    Ok(Some(State::ChunkSize))
}

/// Skips one trailer line. An empty line ends the body. `trailer_bytes` counts the earlier lines.
fn skip_trailer_line(
    buffer: &mut BytesMut,
    trailer_bytes: usize,
) -> Result<Option<State>, BodyError> {
    let Some(line) = take_line(buffer, MAX_TRAILER_BYTES)? else {
        return Ok(None);
    };
    if line.is_empty() {
        return Ok(Some(State::Complete));
    }
    let trailer_bytes = trailer_bytes + line.len();
    if trailer_bytes > MAX_TRAILER_BYTES {
        return Err(BodyError::TooLarge);
    }
    Ok(Some(State::Trailer(trailer_bytes)))
}

/// Removes a line from the buffer and returns it without CR LF, or `None` if it is incomplete.
fn take_line(buffer: &mut BytesMut, max_bytes: usize) -> Result<Option<BytesMut>, BodyError> {
    let Some(end) = buffer.windows(2).position(|window| window == b"\r\n") else {
        if buffer.len() > max_bytes {
            return Err(BodyError::Malformed);
        }
        return Ok(None);
    };
    if end > max_bytes {
        return Err(BodyError::Malformed);
    }
    let line = buffer.split_to(end);
    buffer.advance(2);
    Ok(Some(line))
}

/// Parses a chunk size and ignores the extensions after a semicolon.
fn parse_chunk_size(line: &[u8]) -> Result<u64, BodyError> {
    let end = line.iter().position(|byte| *byte == b';');
    let digits = line[..end.unwrap_or(line.len())].trim_ascii_end();
    if digits.is_empty()
        || digits.len() > MAX_CHUNK_SIZE_DIGITS
        || !digits.iter().all(u8::is_ascii_hexdigit)
    {
        return Err(BodyError::Malformed);
    }
    let digits = std::str::from_utf8(digits).map_err(|_| BodyError::Malformed)?;
    u64::from_str_radix(digits, 16).map_err(|_| BodyError::Malformed)
}
