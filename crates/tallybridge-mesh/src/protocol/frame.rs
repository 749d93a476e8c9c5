//! Frames: how messages are delimited and told apart on a connection between two nodes.

use bytes::{Buf, Bytes, BytesMut};
use deku::prelude::*;

use super::{Message, codec::put_fields};

/// Version of the protocol. Nodes refuse a peer that speaks another one.
const PROTOCOL_VERSION: u8 = 8;
/// Largest payload that is accepted, in bytes (80 MiB): the largest body of the default limits is 64
/// MiB. Bounds what a peer that sends garbage can make this node allocate. Origin not recorded.
const MAX_FRAME_BYTES: u32 = 80 << 20;
/// Size of a [`FrameHeader`], in bytes.
const HEADER_BYTES: usize = 10;

/// A message with the call that it belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// Number of the call within its link; 0 for a message that belongs to no call.
    pub call: u32,
    /// The message.
    pub message: Message,
}

/// Bytes that are no frames of this protocol.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The peer speaks another version.
    #[error("peer speaks protocol version {0}, this node speaks {PROTOCOL_VERSION}")]
    Version(u8),
    /// The frame is larger than any message.
    #[error("frame of {0} bytes is too large")]
    TooLarge(u32),
    /// Its kind is unknown, or its payload doesn't decode as one of its kind.
    #[error("malformed frame of kind {0}")]
    Malformed(u8),
}

#[derive(Debug, DekuRead, DekuWrite)]
#[deku(endian = "big")]
struct FrameHeader {
    /// Bytes of the payload, without this header.
    length: u32,
    version: u8,
    /// One of [`super::message::kind`].
    kind: u8,
    call: u32,
}

impl Frame {
    /// A frame of a message that belongs to no call.
    #[must_use]
    pub const fn of_link(message: Message) -> Self {
        Self { call: 0, message }
    }

    /// The frame's bytes.
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

    /// Takes a frame off a buffer; `None` until all of its bytes are there.
    ///
    /// # Errors
    ///
    /// [`FrameError`] when the bytes are no frame; the link can't be used further.
    pub fn take(buffer: &mut BytesMut) -> Result<Option<Self>, FrameError> {
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
