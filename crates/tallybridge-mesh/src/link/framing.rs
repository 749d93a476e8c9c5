//! Reads, queues and writes frames on a connection between two nodes.

use std::io;

use bytes::{Bytes, BytesMut};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::tcp::{OwnedReadHalf, OwnedWriteHalf},
    sync::mpsc,
};

use crate::{
    in_flight::InFlight,
    protocol::{Frame, Message, NodeRecord},
};

/// Buffer space reserved for each read. It is small because a node has hundreds of links, most of
/// which are idle.
const READ_BUFFER_BYTES: usize = 4 * 1024;
const MAX_FRAMES_PER_WRITE: usize = 64;

/// Queues frames for one connection without blocking.
#[derive(Debug, Clone)]
pub struct FrameSender(mpsc::UnboundedSender<Bytes>);

impl FrameSender {
    /// Creates a sender whose frames go to a channel that [`write_frames`] drains.
    #[must_use]
    pub const fn new(sender: mpsc::UnboundedSender<Bytes>) -> Self {
        Self(sender)
    }

    /// Queues a frame. Drops the frame if the connection is closed.
    pub fn send(&self, frame: &Frame) {
        // Fails only if the connection is closed. The connection's reader then ends its calls.
        let _ = self.0.send(frame.encode());
    }

    /// Queues a frame that counts as in flight until it is written. Drops both if the connection is
    /// closed.
    pub fn send_tracked(&self, frame: &Frame, in_flight: InFlight) {
        let tracked = TrackedFrame {
            bytes: frame.encode(),
            _in_flight: in_flight,
        };
        // Fails only if the connection is closed, as in `send`.
        let _ = self.0.send(Bytes::from_owner(tracked));
    }

    /// Returns whether the connection is still open for writing.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.0.is_closed()
    }

    /// Queues a message about the link itself, which belongs to no call.
    pub fn send_message(&self, message: Message) {
        self.send(&Frame::without_call(message));
    }
}

/// Bytes of a frame with a guard that is dropped once they are written.
struct TrackedFrame {
    bytes: Bytes,
    _in_flight: InFlight,
}

impl AsRef<[u8]> for TrackedFrame {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

fn invalid_data(error: impl ToString) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error.to_string())
}

/// Reads the next frame, and keeps any further bytes in `buffer`.
///
/// # Errors
///
/// Returns I/O errors of the connection, `UnexpectedEof` if the peer closes it, and `InvalidData` if
/// the received bytes are not a valid frame.
pub async fn next_frame(reader: &mut OwnedReadHalf, buffer: &mut BytesMut) -> io::Result<Frame> {
    loop {
        if let Some(frame) = Frame::decode(buffer).map_err(invalid_data)? {
            return Ok(frame);
        }
        buffer.reserve(READ_BUFFER_BYTES);
        if reader.read_buf(buffer).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

/// Reads the first frame of a connection, which must be a hello, and returns the peer's record.
///
/// # Errors
///
/// Returns the errors of [`next_frame`], and `InvalidData` if the message is not a valid hello.
pub async fn read_hello(
    reader: &mut OwnedReadHalf,
    buffer: &mut BytesMut,
) -> io::Result<NodeRecord> {
    let frame = next_frame(reader, buffer).await?;
    let Message::Hello(record) = frame.message else {
        return Err(invalid_data("the first frame is not a hello"));
    };
    serde_json::from_slice(&record).map_err(invalid_data)
}

/// Writes queued frames until the queue is closed, and joins waiting frames into one write.
///
/// # Errors
///
/// Returns I/O errors of the connection.
pub async fn write_frames(
    mut writer: OwnedWriteHalf,
    mut frames: mpsc::UnboundedReceiver<Bytes>,
) -> io::Result<()> {
    let mut batch = Vec::with_capacity(MAX_FRAMES_PER_WRITE);
    while frames.recv_many(&mut batch, MAX_FRAMES_PER_WRITE).await > 0 {
        if let [frame] = &batch[..] {
            writer.write_all(frame).await?;
        } else {
            writer.write_all(&batch.concat()).await?;
        }
        batch.clear();
    }
    Ok(())
}
