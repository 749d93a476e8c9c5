//! Framing of messages on a byte stream.
//!
//! A frame is a header of fixed size with the payload length, protocol version, message kind, stream
//! and checksum, followed by the payload.

use std::io;

use bytes::{Buf, BufMut, BytesMut};
use deku::prelude::*;
use tokio_util::codec::{Decoder, Encoder};

use crate::{
    PROTOCOL_VERSION,
    frame::{Frame, StreamId},
    message::{Message, MessageError},
};

#[derive(Debug, DekuRead, DekuWrite)]
#[deku(endian = "big")]
struct FrameHeader {
    /// Size of the payload without this header, in bytes.
    payload_length: u32,
    version: u8,
    kind: u8,
    stream: u64,
    /// CRC-32 of the payload.
    checksum: u32,
}

/// Encoded size of a [`FrameHeader`], in bytes.
const HEADER_BYTES: usize = 18;

/// Maximum size of a payload, in bytes. Leaves room for a call with many long headers and for many
/// configuration records.
pub const MAX_PAYLOAD_BYTES: usize = 4 << 20;

/// An error of the framing. The connection must be closed, because the start of the next frame may
/// be unknown.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The peer uses another protocol version, which is the value of the variant.
    #[error("peer uses protocol version {0}, but this node uses version {PROTOCOL_VERSION}")]
    Version(u8),
    /// The payload size in bytes exceeds [`MAX_PAYLOAD_BYTES`].
    #[error("frame payload of {0} bytes exceeds the limit of {MAX_PAYLOAD_BYTES} bytes")]
    TooLarge(usize),
    /// The payload does not match the checksum in its header.
    #[error("frame payload does not match its checksum")]
    Checksum,
    /// The message to send cannot be encoded.
    #[error(transparent)]
    Message(#[from] MessageError),
    /// The connection failed, or a frame header cannot be encoded or decoded.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Decodes and encodes [`Frame`]s for [`tokio_util::codec`].
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

/// Rejects another protocol version and an oversized payload before the payload is buffered.
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
