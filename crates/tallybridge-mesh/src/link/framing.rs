//! Reads, queues and writes frames on a connection between two nodes.

use std::{collections::VecDeque, io, iter};

use bytes::{Buf, Bytes, BytesMut};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::tcp::{OwnedReadHalf, OwnedWriteHalf},
    sync::mpsc,
};

use crate::{
    in_flight::InFlight,
    memory::{MemoryBudget, MemoryShare, MemoryUse},
    protocol::{
        EncodedFrame, Frame, FrameContent, FramePreview, HEADER_BYTES, Message, NodeRecord,
    },
};

/// Buffer space reserved for each read. It is small because a node has hundreds of links, most of
/// which are idle.
const READ_BUFFER_BYTES: usize = 4 * 1024;
const MAX_FRAMES_PER_WRITE: usize = 64;
/// Largest payload of a hello. Its sender is unknown until it has been read.
const MAX_HELLO_BYTES: usize = 64 * 1024;
/// Memory of a call or an answer besides its payload: its task and its place in the tables.
const MESSAGE_OVERHEAD_BYTES: usize = 4 * 1024;

/// A frame that waits to be written. Small, because each of hundreds of links reserves space for several.
#[derive(Debug)]
pub struct QueuedFrame {
    head: Bytes,
    /// Large body at the end of the frame.
    body: Option<Box<Bytes>>,
}

impl QueuedFrame {
    /// Returns all bytes of the frame.
    #[must_use]
    pub fn to_bytes(&self) -> Bytes {
        match &self.body {
            Some(body) => [&self.head[..], &body[..]].concat().into(),
            None => self.head.clone(),
        }
    }

    /// Returns what the frame carries, and its call.
    fn preview(&self) -> Option<FramePreview> {
        // The header was encoded by this process, so it is valid.
        Frame::preview(&self.head).ok().flatten()
    }
}

/// Bytes of a frame with a guard that is dropped once they are written.
struct TrackedBytes {
    bytes: Bytes,
    _in_flight: InFlight,
}

impl AsRef<[u8]> for TrackedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Queues frames for one connection without blocking.
#[derive(Debug, Clone)]
pub struct FrameSender(mpsc::UnboundedSender<QueuedFrame>);

impl FrameSender {
    /// Creates a sender whose frames go to a channel that [`write_frames`] drains.
    #[must_use]
    pub const fn new(sender: mpsc::UnboundedSender<QueuedFrame>) -> Self {
        Self(sender)
    }

    /// Queues a frame. Drops the frame if the connection is closed.
    pub fn send(&self, frame: &Frame) {
        self.queue(frame.encode_shared());
    }

    /// Queues a frame that counts as in flight until it is written. Drops both if the connection is
    /// closed.
    pub fn send_tracked(&self, frame: &Frame, in_flight: InFlight) {
        let mut encoded = frame.encode_shared();
        // What is written last keeps the guard.
        let last = match encoded.body.is_empty() {
            true => &mut encoded.head,
            false => &mut encoded.body,
        };
        *last = Bytes::from_owner(TrackedBytes {
            bytes: std::mem::take(last),
            _in_flight: in_flight,
        });
        self.queue(encoded);
    }

    fn queue(&self, EncodedFrame { head, body }: EncodedFrame) {
        let body = (!body.is_empty()).then(|| Box::new(body));
        // Fails only if the connection is closed. The connection's reader then ends its calls.
        let _ = self.0.send(QueuedFrame { head, body });
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
        read_some(reader, buffer).await?;
    }
}

async fn read_some(reader: &mut OwnedReadHalf, buffer: &mut BytesMut) -> io::Result<()> {
    buffer.reserve(READ_BUFFER_BYTES);
    match reader.read_buf(buffer).await? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(()),
    }
}

/// What arrived on a link.
#[derive(Debug)]
pub enum Received {
    /// A complete frame.
    Frame(Frame),
    /// A call or an answer for which this node has no memory. The rest of its frame is skipped.
    Discarded(FramePreview),
    /// A part of a frame, which shows that the peer is alive.
    Part,
}

/// Reads the frames of a link, and counts calls and answers against the memory budget.
#[derive(Debug)]
pub struct FrameReader {
    reader: OwnedReadHalf,
    buffer: BytesMut,
    budget: MemoryBudget,
    /// Memory of the call or answer whose frame is being read.
    share: Option<MemoryShare>,
    /// Bytes to skip before the next frame.
    skipped_bytes: usize,
}

impl FrameReader {
    /// Reads from `reader` what follows the bytes that `buffer` holds already.
    #[must_use]
    pub const fn new(reader: OwnedReadHalf, buffer: BytesMut, budget: MemoryBudget) -> Self {
        Self {
            reader,
            buffer,
            budget,
            share: None,
            skipped_bytes: 0,
        }
    }

    /// Returns the connection.
    #[must_use]
    pub fn into_reader(self) -> OwnedReadHalf {
        self.reader
    }

    /// Waits for the next frame or a part of it. Dropping the future loses nothing.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`next_frame`].
    pub async fn next(&mut self) -> io::Result<Received> {
        self.skip();
        if self.skipped_bytes == 0
            && let Some(received) = self.take()?
        {
            return Ok(received);
        }
        let is_within_frame = self.skipped_bytes > 0 || self.share.is_some();
        read_some(&mut self.reader, &mut self.buffer).await?;
        if is_within_frame {
            return Ok(Received::Part);
        }
        self.take()
            .map(|received| received.unwrap_or(Received::Part))
    }

    /// Removes a complete frame from the buffer, or discards an incomplete one that has no memory.
    fn take(&mut self) -> io::Result<Option<Received>> {
        let Some(preview) = Frame::preview(&self.buffer).map_err(invalid_data)? else {
            return Ok(None);
        };
        let memory_use = match preview.content {
            FrameContent::Call => MemoryUse::Request,
            FrameContent::Answer => MemoryUse::Answer,
            FrameContent::Cancel | FrameContent::Other => {
                let frame = Frame::decode(&mut self.buffer).map_err(invalid_data)?;
                return Ok(frame.map(Received::Frame));
            }
        };
        let budget = &self.budget;
        let mut share = self
            .share
            .take()
            .unwrap_or_else(|| budget.begin(memory_use));
        let received_bytes = (self.buffer.len() - HEADER_BYTES).min(preview.payload_bytes);
        if !share.grow_to(received_bytes + MESSAGE_OVERHEAD_BYTES) {
            self.skipped_bytes = HEADER_BYTES + preview.payload_bytes;
            self.skip();
            return Ok(Some(Received::Discarded(preview)));
        }
        if received_bytes < preview.payload_bytes {
            self.share = Some(share);
            self.buffer.reserve(preview.payload_bytes - received_bytes);
            return Ok(None);
        }
        let frame = Frame::decode_with(&mut self.buffer, |payload| share.hold(payload));
        Ok(frame.map_err(invalid_data)?.map(Received::Frame))
    }

    /// Drops the buffered bytes that belong to a discarded frame.
    fn skip(&mut self) {
        if self.skipped_bytes == 0 {
            return;
        }
        let count = self.skipped_bytes.min(self.buffer.len());
        self.skipped_bytes -= count;
        self.buffer.advance(count);
        if self.buffer.is_empty() {
            // Frees the space that was reserved for the payload.
            self.buffer = BytesMut::new();
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
    let preview = loop {
        if let Some(preview) = Frame::preview(buffer).map_err(invalid_data)? {
            break preview;
        }
        read_some(reader, buffer).await?;
    };
    if preview.payload_bytes > MAX_HELLO_BYTES {
        return Err(invalid_data("the first frame is too large for a hello"));
    }
    let frame = next_frame(reader, buffer).await?;
    let Message::Hello(record) = frame.message else {
        return Err(invalid_data("the first frame is not a hello"));
    };
    serde_json::from_slice(&record).map_err(invalid_data)
}

/// Writes queued frames until the queue is closed, and joins waiting frames into one write.
///
/// Frames with large bodies are written after the others that wait, so that small calls do not wait for several
/// large ones. A call that is cancelled meanwhile is not sent.
///
/// # Errors
///
/// Returns I/O errors of the connection.
pub async fn write_frames(
    mut writer: OwnedWriteHalf,
    mut frames: mpsc::UnboundedReceiver<QueuedFrame>,
) -> io::Result<()> {
    let mut batch = Vec::new();
    let mut large = VecDeque::new();
    loop {
        if large.is_empty() {
            if frames.recv_many(&mut batch, MAX_FRAMES_PER_WRITE).await == 0 {
                return Ok(());
            }
        } else {
            let waiting = iter::from_fn(|| frames.try_recv().ok());
            batch.extend(waiting.take(MAX_FRAMES_PER_WRITE));
        }
        set_large_aside(&mut batch, &mut large);
        match &batch[..] {
            [] => {}
            [queued] => writer.write_all(&queued.head).await?,
            several => {
                let heads: Vec<_> = several.iter().map(|queued| &queued.head[..]).collect();
                writer.write_all(&heads.concat()).await?;
            }
        }
        batch.clear();
        if let Some(queued) = large.pop_front() {
            writer.write_all(&queued.head).await?;
            if let Some(body) = &queued.body {
                writer.write_all(body).await?;
            }
        }
    }
}

/// Moves the frames with large bodies from `batch` to `large`. Removes calls that are cancelled before they were
/// sent, together with their cancellations.
fn set_large_aside(batch: &mut Vec<QueuedFrame>, large: &mut VecDeque<QueuedFrame>) {
    if large.is_empty() && batch.iter().all(|queued| queued.body.is_none()) {
        return;
    }
    for queued in std::mem::take(batch) {
        if queued.body.is_some() {
            large.push_back(queued);
            continue;
        }
        let cancelled = queued
            .preview()
            .filter(|preview| preview.content == FrameContent::Cancel);
        let unsent = cancelled.and_then(|cancel| {
            let is_cancelled = |other: &QueuedFrame| {
                other
                    .preview()
                    .is_some_and(|preview| preview.call == cancel.call)
            };
            large.iter().position(is_cancelled)
        });
        match unsent {
            Some(index) => drop(large.remove(index)),
            None => batch.push(queued),
        }
    }
}
