//! Frames, which carry the messages of many streams over one connection.

use crate::message::{Message, MessageError};

/// Number of a stream within one connection.
///
/// A number is never reused, so a late answer cannot reach another call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamId(pub u64);

impl StreamId {
    /// The stream of messages that concern the connection as a whole.
    pub const CONNECTION: Self = Self(0);
}

/// One message of one stream, or the error of decoding its payload.
///
/// A malformed payload affects its own stream only; the connection stays usable.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// The stream that the message belongs to.
    pub stream: StreamId,
    /// The message, or the reason why its payload cannot be decoded.
    pub message: Result<Message, MessageError>,
}

impl Frame {
    /// Returns a frame for sending.
    #[must_use]
    pub const fn new(stream: StreamId, message: Message) -> Self {
        Self {
            stream,
            message: Ok(message),
        }
    }
}
