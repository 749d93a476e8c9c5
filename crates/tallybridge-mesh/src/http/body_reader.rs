//! Reads a complete body, in whatever pieces its bytes come.

use bytes::{Buf, BytesMut};

use super::{BodyError, BodyLength};

/// Longest line that gives the size of a chunk, with its extensions, in bytes. Origin not recorded.
const MAX_CHUNK_LINE: usize = 256;
/// Most hexadecimal digits of the size of a chunk: what always fits 64 bits.
const MAX_CHUNK_DIGITS: usize = 15;
/// Most bytes of trailer lines. Origin not recorded.
const MAX_TRAILER_BYTES: usize = 8 * 1024;

/// Takes a body off a buffer as its bytes come.
#[derive(Debug)]
pub struct BodyReader {
    state: State,
    max_bytes: usize,
    body: Vec<u8>,
}

/// Where in the body the next byte is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// With the bytes that are missing.
    Sized(u64),
    ChunkSize,
    /// With the bytes of the chunk that are missing.
    ChunkData(u64),
    ChunkEnd,
    /// With the bytes of trailer lines so far.
    Trailer(usize),
    UntilClose,
    Complete,
}

impl BodyReader {
    /// A reader of a body that may have at most `max_bytes`.
    ///
    /// # Errors
    ///
    /// [`BodyError::TooLarge`] when the announced length is above the limit.
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

    /// Takes what the buffer holds of the body; `true` once the body is complete.
    ///
    /// # Errors
    ///
    /// [`BodyError`] when the framing is malformed or the body too large.
    pub fn read(&mut self, buffer: &mut BytesMut) -> Result<bool, BodyError> {
        while self.state != State::Complete {
            match self.step(buffer)? {
                Some(next) => self.state = next,
                None => return Ok(false),
            }
        }
        Ok(true)
    }

    /// The state after the current one; `None` until more bytes come.
    fn step(&mut self, buffer: &mut BytesMut) -> Result<Option<State>, BodyError> {
        match self.state {
            State::Sized(left) => self.take_counted(buffer, left, State::Sized, State::Complete),
            State::ChunkSize => chunk_start(buffer),
            State::ChunkData(left) => {
                self.take_counted(buffer, left, State::ChunkData, State::ChunkEnd)
            }
            State::ChunkEnd => chunk_end(buffer),
            State::Trailer(seen) => trailer_line(buffer, seen),
            State::UntilClose => {
                self.take_data(buffer, u64::MAX)?;
                Ok(None)
            }
            State::Complete => Ok(None),
        }
    }

    /// Takes data of which `left` bytes are missing; `next` follows the last of them.
    fn take_counted(
        &mut self,
        buffer: &mut BytesMut,
        left: u64,
        counted: fn(u64) -> State,
        next: State,
    ) -> Result<Option<State>, BodyError> {
        let left = self.take_data(buffer, left)?;
        if left == 0 {
            return Ok(Some(next));
        }
        self.state = counted(left);
        Ok(None)
    }

    /// The end of the connection was read; `true` when that ends the body.
    #[must_use]
    pub fn ends_at_close(&self) -> bool {
        matches!(self.state, State::UntilClose | State::Complete)
    }

    /// Whether nothing of the body came yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.body.is_empty()
    }

    /// The body.
    #[must_use]
    pub fn into_body(self) -> Vec<u8> {
        self.body
    }

    /// Takes at most `left` bytes and gives how many are still missing.
    fn take_data(&mut self, buffer: &mut BytesMut, left: u64) -> Result<u64, BodyError> {
        let taken = usize::try_from(left)
            .unwrap_or(usize::MAX)
            .min(buffer.len());
        if self.body.len() + taken > self.max_bytes {
            return Err(BodyError::TooLarge);
        }
        self.body.extend_from_slice(&buffer[..taken]);
        buffer.advance(taken);
        Ok(left - taken as u64)
    }
}

fn chunk_start(buffer: &mut BytesMut) -> Result<Option<State>, BodyError> {
    let Some(line) = take_line(buffer, MAX_CHUNK_LINE)? else {
        return Ok(None);
    };
    Ok(Some(match chunk_size(&line)? {
        0 => State::Trailer(0),
        size => State::ChunkData(size),
    }))
}

fn chunk_end(buffer: &mut BytesMut) -> Result<Option<State>, BodyError> {
    if buffer.len() < 2 {
        return Ok(None);
    }
    if &buffer[..2] != b"\r\n" {
        return Err(BodyError::Malformed);
    }
    buffer.advance(2);
    Ok(Some(State::ChunkSize))
}

/// Passes over one trailer line, after `seen` bytes of them; an empty one ends the body.
fn trailer_line(buffer: &mut BytesMut, seen: usize) -> Result<Option<State>, BodyError> {
    let Some(line) = take_line(buffer, MAX_TRAILER_BYTES)? else {
        return Ok(None);
    };
    if line.is_empty() {
        return Ok(Some(State::Complete));
    }
    let seen = seen + line.len();
    if seen > MAX_TRAILER_BYTES {
        return Err(BodyError::TooLarge);
    }
    Ok(Some(State::Trailer(seen)))
}

/// Takes a line that ends in CR LF, without its end; `None` until all of it is there.
fn take_line(buffer: &mut BytesMut, max_bytes: usize) -> Result<Option<BytesMut>, BodyError> {
    let Some(end) = buffer.windows(2).position(|part| part == b"\r\n") else {
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

/// The size of a chunk; extensions after a semicolon are passed over.
fn chunk_size(line: &[u8]) -> Result<u64, BodyError> {
    let end = line.iter().position(|byte| *byte == b';');
    let digits = line[..end.unwrap_or(line.len())].trim_ascii_end();
    if digits.is_empty()
        || digits.len() > MAX_CHUNK_DIGITS
        || !digits.iter().all(u8::is_ascii_hexdigit)
    {
        return Err(BodyError::Malformed);
    }
    let digits = std::str::from_utf8(digits).map_err(|_| BodyError::Malformed)?;
    u64::from_str_radix(digits, 16).map_err(|_| BodyError::Malformed)
}
