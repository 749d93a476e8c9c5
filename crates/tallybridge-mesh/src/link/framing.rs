//! Frames on a connection between two nodes: reading them, and queueing and writing them.

use std::io;

use bytes::{Bytes, BytesMut};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::tcp::{OwnedReadHalf, OwnedWriteHalf},
    sync::mpsc,
};

use crate::protocol::{Frame, Message, NodeRecord};

/// Room that is made for each read, in bytes. Small, since a node has hundreds of links and most
/// are idle (`docs/CAPACITY.md`, memory).
const READ_BYTES: usize = 4 * 1024;
/// Most frames that are written in one call. Origin not recorded.
const MAX_BATCH: usize = 64;

/// Queues frames for one connection, without waiting.
#[derive(Debug, Clone)]
pub struct FrameSender(mpsc::UnboundedSender<Bytes>);

impl FrameSender {
    /// Queues into a channel that [`write_frames`] empties.
    #[must_use]
    pub const fn new(sender: mpsc::UnboundedSender<Bytes>) -> Self {
        Self(sender)
    }

    /// Queues a frame.
    pub fn send(&self, frame: &Frame) {
        // Fails only when the connection is lost. Its reader sees that and ends the calls on it.
        let _ = self.0.send(frame.encode());
    }

    /// Queues a message that belongs to no call.
    pub fn send_message(&self, message: Message) {
        self.send(&Frame::without_call(message));
    }
}

fn invalid(error: impl ToString) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error.to_string())
}

/// Reads the next frame.
///
/// # Errors
///
/// Errors of the connection, `UnexpectedEof` when it ends, `InvalidData` when what comes is no frame.
pub async fn next_frame(reader: &mut OwnedReadHalf, buffer: &mut BytesMut) -> io::Result<Frame> {
    loop {
        if let Some(frame) = Frame::decode(buffer).map_err(invalid)? {
            return Ok(frame);
        }
        buffer.reserve(READ_BYTES);
        if reader.read_buf(buffer).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

/// Reads the first frame, by which the other node says who it is.
///
/// # Errors
///
/// As [`next_frame`], and `InvalidData` also for another message.
pub async fn read_hello(
    reader: &mut OwnedReadHalf,
    buffer: &mut BytesMut,
) -> io::Result<NodeRecord> {
    let frame = next_frame(reader, buffer).await?;
    let Message::Hello(record) = frame.message else {
        return Err(invalid("the first frame is no hello"));
    };
    serde_json::from_slice(&record).map_err(invalid)
}

/// Writes queued frames as they come, many in one call where many wait.
///
/// # Errors
///
/// Errors of the connection.
pub async fn write_frames(
    mut writer: OwnedWriteHalf,
    mut frames: mpsc::UnboundedReceiver<Bytes>,
) -> io::Result<()> {
    let mut batch = Vec::with_capacity(MAX_BATCH);
    while frames.recv_many(&mut batch, MAX_BATCH).await > 0 {
        if let [frame] = &batch[..] {
            writer.write_all(frame).await?;
        } else {
            writer.write_all(&batch.concat()).await?;
        }
        batch.clear();
    }
    Ok(())
}
