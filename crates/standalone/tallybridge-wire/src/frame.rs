//! Frames: one message of one stream.

use crate::message::{Message, MessageError};

/// Number of a stream within one connection. Never reused, so a late answer finds no owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamId(pub u64);

impl StreamId {
    /// The stream of messages that belong to the connection itself.
    pub const CONNECTION: Self = Self(0);
}

/// One message of one stream, or the reason why its payload could not be read. A bad payload
/// harms its own stream only.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// The stream.
    pub stream: StreamId,
    /// The message.
    pub message: Result<Message, MessageError>,
}

impl Frame {
    /// A frame to be sent.
    #[must_use]
    pub const fn new(stream: StreamId, message: Message) -> Self {
        Self {
            stream,
            message: Ok(message),
        }
    }
}
