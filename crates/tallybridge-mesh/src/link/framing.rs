//! Frames on a connection between two nodes.

use std::{io, time::Duration};

use bytes::{Bytes, BytesMut};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::tcp::{OwnedReadHalf, OwnedWriteHalf},
    sync::mpsc,
};

use crate::protocol::Frame;

/// Time after which unacknowledged bytes end a link.
pub const LINK_SILENCE: Duration = Duration::from_millis(2500);
/// Room that is made for each read, in bytes.
const READ_BYTES: usize = 4 * 1024;
/// Frames that are written in one call.
const MAX_BATCH: usize = 64;

/// What comes is not what this protocol says.
pub fn invalid(error: impl ToString) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error.to_string())
}

/// Reads the next frame.
///
/// # Errors
///
/// What the connection says, or that what comes is no frame.
pub async fn next_frame(reader: &mut OwnedReadHalf, buffer: &mut BytesMut) -> io::Result<Frame> {
    loop {
        if let Some(frame) = Frame::take(buffer).map_err(invalid)? {
            return Ok(frame);
        }
        buffer.reserve(READ_BYTES);
        if reader.read_buf(buffer).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

/// Writes frames as they come, many in one call where many wait.
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
