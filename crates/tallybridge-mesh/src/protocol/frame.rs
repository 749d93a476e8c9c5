//! Framing of messages on a connection between two nodes: a fixed header and a payload.

use bytes::{Buf, Bytes, BytesMut};
use deku::prelude::*;

use super::{Message, codec::put_fields, message::kind};

/// Protocol version. A node closes a link whose peer sends a different one.
const PROTOCOL_VERSION: u8 = 8;
/// Largest accepted payload, which exceeds the largest body of the default limits (64 MiB). Bounds
/// the memory that a peer with corrupt output can make this node allocate.
const MAX_FRAME_BYTES: u32 = 80 << 20;
/// Encoded size of the header of a frame.
pub const HEADER_BYTES: usize = 10;
/// Smallest body that an encoded frame refers to instead of copying it.
const MIN_SHARED_BODY_BYTES: usize = 16 * 1024;

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

/// A frame as sent on the wire: the bytes of `head`, then those of `body`.
#[derive(Debug, Clone)]
pub struct EncodedFrame {
    /// Header and payload, except for a large body at its end.
    pub head: Bytes,
    /// Large body of a call or an answer, shared with the message; otherwise empty.
    pub body: Bytes,
}

impl EncodedFrame {
    /// Returns all bytes of the frame.
    #[must_use]
    pub fn to_bytes(&self) -> Bytes {
        if self.body.is_empty() {
            return self.head.clone();
        }
        [&self.head[..], &self.body[..]].concat().into()
    }
}

/// Which call a frame that is being received belongs to, and how long its payload is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FramePreview {
    /// Size of the payload in bytes.
    pub payload_bytes: usize,
    /// Number of the call; 0 for a message that belongs to no call.
    pub call: u32,
    /// What the frame carries.
    pub content: FrameContent,
}

/// What a frame that is being received carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameContent {
    /// A call to the back end of the receiving node.
    Call,
    /// The answer to a call.
    Answer,
    /// The cancellation of a call.
    Cancel,
    /// Another message.
    Other,
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
        self.encode_shared().to_bytes()
    }

    /// Like [`Self::encode`], but refers to a large body instead of copying it.
    #[must_use]
    pub fn encode_shared(&self) -> EncodedFrame {
        let mut payload = Vec::new();
        let mut body = self.message.encode_payload(&mut payload);
        if body.len() < MIN_SHARED_BODY_BYTES {
            payload.extend_from_slice(&body);
            body = Bytes::new();
        }
        let header = FrameHeader {
            length: u32::try_from(payload.len() + body.len()).unwrap_or(u32::MAX),
            version: PROTOCOL_VERSION,
            kind: self.message.kind(),
            call: self.call,
        };
        let mut head = Vec::with_capacity(HEADER_BYTES + payload.len());
        put_fields(&header, &mut head);
        head.append(&mut payload);
        EncodedFrame {
            head: head.into(),
            body,
        }
    }

    /// Returns what the header of the frame at the front of `buffer` says; `None` until it is complete.
    ///
    /// # Errors
    ///
    /// [`FrameError`] if the bytes are not a valid header; the link must then be closed.
    pub fn preview(buffer: &[u8]) -> Result<Option<FramePreview>, FrameError> {
        let Some(header) = buffer.get(..HEADER_BYTES) else {
            return Ok(None);
        };
        let header = FrameHeader::decode(header)?;
        Ok(Some(FramePreview {
            payload_bytes: header.length as usize,
            call: header.call,
            content: match header.kind {
                kind::CALL => FrameContent::Call,
                kind::ANSWER => FrameContent::Answer,
                kind::CANCEL => FrameContent::Cancel,
                _ => FrameContent::Other,
            },
        }))
    }

    /// Removes one frame from the front of `buffer`; `None` until the buffer holds a complete frame.
    ///
    /// # Errors
    ///
    /// [`FrameError`] if the bytes are not a valid frame; the link must then be closed.
    pub fn decode(buffer: &mut BytesMut) -> Result<Option<Self>, FrameError> {
        Self::decode_with(buffer, |payload| payload)
    }

    /// Like [`Self::decode`], but decodes the message from what `hold` returns for its payload.
    ///
    /// # Errors
    ///
    /// [`FrameError`] if the bytes are not a valid frame; the link must then be closed.
    pub fn decode_with(
        buffer: &mut BytesMut,
        hold: impl FnOnce(Bytes) -> Bytes,
    ) -> Result<Option<Self>, FrameError> {
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
        let payload = hold(buffer.split_to(header.length as usize).freeze());
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
