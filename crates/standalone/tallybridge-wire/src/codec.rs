//! Framing over a byte stream: a fixed header with length, version and checksum, then the payload.

use std::io;

use bytes::{Buf, BufMut, BytesMut};
use deku::prelude::*;
use tokio_util::codec::{Decoder, Encoder};

use crate::{
    PROTOCOL_VERSION,
    frame::{Frame, StreamId},
    message::{Message, MessageError},
};

/// Header of every frame.
#[derive(Debug, DekuRead, DekuWrite)]
#[deku(endian = "big")]
struct FrameHeader {
    /// Length of the payload, in bytes.
    payload_length: u32,
    version: u8,
    kind: u8,
    stream: u64,
    /// CRC-32 of the payload.
    checksum: u32,
}

/// Size of a [`FrameHeader`], in bytes.
const HEADER_BYTES: usize = 18;

/// Largest payload, in bytes: a head with many long headers, or many configuration records.
pub const MAX_PAYLOAD_BYTES: usize = 4 << 20;

/// The byte stream is not made of frames; the connection can't be used further.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The peer speaks another version.
    #[error("peer speaks protocol version {0}, this node speaks {PROTOCOL_VERSION}")]
    Version(u8),
    /// The frame is larger than any message.
    #[error("frame of {0} bytes is above the limit of {MAX_PAYLOAD_BYTES}")]
    TooLarge(usize),
    /// The payload was damaged on its way.
    #[error("frame checksum does not match")]
    Checksum,
    /// A message to be sent does not fit its format.
    #[error(transparent)]
    Message(#[from] MessageError),
    /// The connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Reads and writes [`Frame`]s.
#[derive(Debug, Default)]
pub struct FrameCodec;

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = FrameError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Frame>, FrameError> {
        if buffer.len() < HEADER_BYTES {
            return Ok(None);
        }
        let header = read_header(buffer)?;
        let payload_length = header.payload_length as usize;
        let frame_length = HEADER_BYTES + payload_length;
        if buffer.len() < frame_length {
            buffer.reserve(frame_length - buffer.len());
            return Ok(None);
        }
        buffer.advance(HEADER_BYTES);
        let payload = buffer.split_to(payload_length);
        if crc32fast::hash(&payload) != header.checksum {
            return Err(FrameError::Checksum);
        }
        Ok(Some(Frame {
            stream: StreamId(header.stream),
            message: Message::from_payload(header.kind, &payload),
        }))
    }
}

/// Reads the header in front of the buffer and refuses what can't be a frame.
fn read_header(buffer: &BytesMut) -> Result<FrameHeader, FrameError> {
    let (_, header) = FrameHeader::from_bytes((&buffer[..HEADER_BYTES], 0))
        .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error.to_string()))?;
    if header.version != PROTOCOL_VERSION {
        return Err(FrameError::Version(header.version));
    }
    if header.payload_length as usize > MAX_PAYLOAD_BYTES {
        return Err(FrameError::TooLarge(header.payload_length as usize));
    }
    Ok(header)
}

impl Encoder<Frame> for FrameCodec {
    type Error = FrameError;

    fn encode(&mut self, frame: Frame, buffer: &mut BytesMut) -> Result<(), FrameError> {
        let message = frame.message?;
        let payload = message.to_payload()?;
        if payload.len() > MAX_PAYLOAD_BYTES {
            return Err(FrameError::TooLarge(payload.len()));
        }
        let header = FrameHeader {
            payload_length: u32::try_from(payload.len()).unwrap_or(u32::MAX),
            version: PROTOCOL_VERSION,
            kind: message.kind(),
            stream: frame.stream.0,
            checksum: crc32fast::hash(&payload),
        };
        let header = header
            .to_bytes()
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error.to_string()))?;
        buffer.reserve(header.len() + payload.len());
        buffer.put_slice(&header);
        buffer.put_slice(&payload);
        Ok(())
    }
}
