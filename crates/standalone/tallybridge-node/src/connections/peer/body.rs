//! Bodies that arrive in pieces.

use bytes::{Bytes, BytesMut};
use tallybridge_wire::{BodyChunk, Frame, Message, StreamId};
use tokio::sync::mpsc;

/// A body whose length and checksum are known before its pieces arrive.
#[derive(Debug)]
pub struct BodyAssembly {
    length: usize,
    checksum: u32,
    received: BytesMut,
}

/// The pieces do not make up the announced body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// More bytes came than were announced.
    #[error("the body is longer than announced")]
    TooLong,
    /// The checksum differs from the announced one.
    #[error("the body's checksum does not match")]
    Checksum,
}

impl BodyAssembly {
    /// Waits for a body.
    #[must_use]
    pub fn new(length: u32, checksum: u32) -> Self {
        Self {
            length: length as usize,
            checksum,
            received: BytesMut::new(),
        }
    }

    /// Adds a piece.
    ///
    /// # Errors
    ///
    /// [`BodyError::TooLong`] when it does not belong to the body.
    pub fn push(&mut self, chunk: &BodyChunk) -> Result<(), BodyError> {
        if self.received.len() + chunk.bytes.len() > self.length {
            return Err(BodyError::TooLong);
        }
        self.received.extend_from_slice(&chunk.bytes);
        Ok(())
    }

    /// Whether all pieces have arrived.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.received.len() == self.length
    }

    /// The whole body.
    ///
    /// # Errors
    ///
    /// [`BodyError::Checksum`] when it was damaged.
    pub fn finish(self) -> Result<Bytes, BodyError> {
        if crc32fast::hash(&self.received) == self.checksum {
            Ok(self.received.freeze())
        } else {
            Err(BodyError::Checksum)
        }
    }
}

/// Sends a body in pieces that other streams' messages can go between.
///
/// # Errors
///
/// The connection is closed.
pub async fn send_body(
    sender: &mpsc::Sender<Frame>,
    stream: StreamId,
    body: &[u8],
) -> Result<(), mpsc::error::SendError<Frame>> {
    for piece in body.chunks(BodyChunk::MAX_BYTES) {
        let chunk = Message::Chunk(BodyChunk::new(piece));
        sender.send(Frame::new(stream, chunk)).await?;
    }
    Ok(())
}
