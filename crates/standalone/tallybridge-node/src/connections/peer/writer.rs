//! The writing side of a connection between nodes.

use futures::SinkExt;
use tallybridge_wire::{Frame, FrameCodec, FrameError};
use tokio::{io::AsyncWrite, sync::mpsc};
use tokio_util::codec::FramedWrite;

/// Frames that may wait to be written; senders beyond it wait in turn.
pub const WRITE_QUEUE: usize = 256;

/// Writes frames until all their senders are gone or the connection fails. Flushes when no frame
/// is waiting, so that frames sent together go out together.
///
/// # Errors
///
/// The connection failed.
pub async fn write_frames<W: AsyncWrite + Unpin>(
    writer: W,
    mut frames: mpsc::Receiver<Frame>,
) -> Result<(), FrameError> {
    let mut sink = FramedWrite::new(writer, FrameCodec);
    while let Some(frame) = frames.recv().await {
        sink.feed(frame).await?;
        while let Ok(frame) = frames.try_recv() {
            sink.feed(frame).await?;
        }
        sink.flush().await?;
    }
    sink.close().await
}
