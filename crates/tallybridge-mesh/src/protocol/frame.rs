//! Framing of messages on a connection between two nodes: a fixed header and a payload.

use bytes::{Buf, Bytes, BytesMut};
use deku::prelude::*;

use super::{Message, codec::put_fields};

/// Protocol version. A node closes a link whose peer sends a different one.
const PROTOCOL_VERSION: u8 = 8;
/// Largest accepted payload, which exceeds the largest body of the default limits (64 MiB). Bounds
/// the memory that a peer with corrupt output can make this node allocate.
const MAX_FRAME_BYTES: u32 = 80 << 20;
/// Encoded size of a [`FrameHeader`].
const HEADER_BYTES: usize = 10;

/// A message and the number of its call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// Number of the call, unique within its link; 0 for a message that belongs to no call.
    pub call: u32,
    /// Message that forms the payload.
    pub message: Message,
}

/// A received frame that cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The peer uses another protocol version, given here.
    #[error("peer uses protocol version {0}, but this node uses {PROTOCOL_VERSION}")]
    Version(u8),
    /// The header announces a payload of this many bytes, which exceeds the limit.
    #[error("frame payload of {0} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes")]
    TooLarge(u32),
    /// The message kind, given here, is unknown, or the payload does not match the kind.
    #[error("frame of message kind {0} is malformed, or the kind is unknown")]
    Malformed(u8),
}

#[derive(Debug, DekuRead, DekuWrite)]
#[deku(endian = "big")]
struct FrameHeader {
    /// Size of the payload in bytes, without this header.
    length: u32,
    version: u8,
    /// One of [`super::message::kind`].
    kind: u8,
    call: u32,
}

impl Frame {
    /// Creates a frame for a message that belongs to no call.
    #[must_use]
    pub const fn without_call(message: Message) -> Self {
        Self { call: 0, message }
    }

    /// Returns the header and the payload as sent on the wire.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        let mut payload = Vec::new();
        self.message.encode_payload(&mut payload);
        let header = FrameHeader {
            length: u32::try_from(payload.len()).unwrap_or(u32::MAX),
            version: PROTOCOL_VERSION,
            kind: self.message.kind(),
            call: self.call,
        };
        let mut bytes = Vec::with_capacity(HEADER_BYTES + payload.len());
        put_fields(&header, &mut bytes);
        bytes.append(&mut payload);
        bytes.into()
    }

    /// Removes one frame from the front of `buffer`; `None` until the buffer holds a complete frame.
    ///
    /// # Errors
    ///
    /// [`FrameError`] if the bytes are not a valid frame; the link must then be closed.
    pub fn decode(buffer: &mut BytesMut) -> Result<Option<Self>, FrameError> {
        if buffer.len() < HEADER_BYTES {
            return Ok(None);
        }
        let header = FrameHeader::decode(&buffer[..HEADER_BYTES])?;
        let length = HEADER_BYTES + header.length as usize;
        if buffer.len() < length {
            buffer.reserve(length - buffer.len());
            return Ok(None);
        }
        buffer.advance(HEADER_BYTES);
        let payload = buffer.split_to(header.length as usize).freeze();
        let message = Message::decode_payload(header.kind, payload);
        Ok(Some(Self {
            call: header.call,
            message: message.ok_or(FrameError::Malformed(header.kind))?,
        }))
    }
}

impl FrameHeader {
    fn decode(bytes: &[u8]) -> Result<Self, FrameError> {
        let (_, header) = Self::from_bytes((bytes, 0)).map_err(|_| FrameError::Malformed(0))?;
        if header.version != PROTOCOL_VERSION {
            return Err(FrameError::Version(header.version));
        }
        if header.length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLarge(header.length));
        }
        Ok(header)
    }
}
