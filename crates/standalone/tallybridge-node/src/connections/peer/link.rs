//! One link that this node opened: its streams, and the task that reads their answers.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use futures::StreamExt;
use tallybridge_wire::{Frame, FrameCodec, Hello, Message, StreamId};
use tokio::{
    io::ReadHalf,
    sync::{mpsc, oneshot},
};
use tokio_util::{codec::FramedRead, sync::CancellationToken};

use super::{
    PeerFailure,
    body::{BodyAssembly, send_body},
    introduction::Peer,
    network::PeerStream,
    writer::{WRITE_QUEUE, write_frames},
};

/// Time for a peer to introduce itself.
const HELLO_TIMEOUT: Duration = Duration::from_secs(1);

/// A message that came back on a stream, with the body that followed it.
#[derive(Debug)]
pub struct Reply {
    /// The message.
    pub message: Message,
    /// Its body; empty when it has none.
    pub body: Bytes,
}

/// A stream that waits for its reply.
struct PendingStream {
    reply: oneshot::Sender<Reply>,
    partial: Option<(Message, BodyAssembly)>,
}

type PendingStreams = Arc<Mutex<HashMap<StreamId, PendingStream>>>;

/// A link to a peer.
pub struct Link {
    /// Who is at the other end.
    pub peer: Peer,
    sender: mpsc::Sender<Frame>,
    pending: PendingStreams,
    last_stream: AtomicU64,
    /// Fires when the link can't be used any more; cancelling it closes the link.
    pub closed: CancellationToken,
}

impl Link {
    /// Introduces both sides over a fresh byte stream and starts the link's tasks.
    ///
    /// # Errors
    ///
    /// [`PeerFailure::NotSent`] when the other end is no peer or does not answer in time.
    pub async fn open(stream: Box<dyn PeerStream>, hello: Hello) -> Result<Self, PeerFailure> {
        let (read_half, write_half) = tokio::io::split(stream);
        let (sender, frames) = mpsc::channel(WRITE_QUEUE);
        let mut reader = FramedRead::new(read_half, FrameCodec);
        let closed = CancellationToken::new();
        spawn_writer(write_half, frames, closed.clone());
        let introduction = Frame::new(StreamId::CONNECTION, Message::Hello(hello));
        sender
            .send(introduction)
            .await
            .map_err(|_| PeerFailure::NotSent("the connection closed".to_owned()))?;
        let peer = read_hello(&mut reader).await?;
        let pending = PendingStreams::default();
        spawn_reader(reader, pending.clone(), closed.clone());
        Ok(Self {
            peer,
            sender,
            pending,
            last_stream: AtomicU64::new(0),
            closed,
        })
    }

    /// Sends a message with its body and waits for the reply. Dropping the future tells the peer
    /// that nobody waits any more.
    ///
    /// # Errors
    ///
    /// [`PeerFailure::Lost`] when the link closes before the reply is whole.
    pub async fn request(&self, message: Message, body: &[u8]) -> Result<Reply, PeerFailure> {
        let stream = StreamId(self.last_stream.fetch_add(1, Ordering::Relaxed) + 1);
        let (reply, receiver) = oneshot::channel();
        let row = PendingStream {
            reply,
            partial: None,
        };
        lock(&self.pending).insert(stream, row);
        let guard = StreamGuard { link: self, stream };
        if self.closed.is_cancelled() {
            return Err(PeerFailure::NotSent("the link is closed".to_owned()));
        }
        let sent = self.sender.send(Frame::new(stream, message)).await;
        sent.map_err(|_| PeerFailure::NotSent("the link is closed".to_owned()))?;
        send_body(&self.sender, stream, body)
            .await
            .map_err(|_| lost())?;
        let reply = receiver.await.map_err(|_| lost());
        drop(guard);
        reply
    }

    /// Sends a message that has no reply.
    ///
    /// # Errors
    ///
    /// [`PeerFailure::NotSent`] when the link is closed.
    pub async fn send(&self, message: Message) -> Result<(), PeerFailure> {
        let frame = Frame::new(StreamId::CONNECTION, message);
        let sent = self.sender.send(frame).await;
        sent.map_err(|_| PeerFailure::NotSent("the link is closed".to_owned()))
    }

    /// Sends a message that has no reply if there is room; says whether it did.
    #[must_use]
    pub fn try_send(&self, message: Message) -> bool {
        let frame = Frame::new(StreamId::CONNECTION, message);
        !self.closed.is_cancelled() && self.sender.try_send(frame).is_ok()
    }
}

impl Link {
    /// Sends a message that has no reply. When the link is closed it is lost.
    pub async fn notify(&self, message: Message) {
        let frame = Frame::new(StreamId::CONNECTION, message);
        if self.sender.send(frame).await.is_err() {
            tracing::debug!(peer = %self.peer.node, "a notice was lost with its link");
        }
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.closed.cancel();
    }
}

fn lost() -> PeerFailure {
    PeerFailure::Lost("the link closed before the answer was whole".to_owned())
}

/// Takes a stream out when its reply has come or is no longer wanted.
struct StreamGuard<'a> {
    link: &'a Link,
    stream: StreamId,
}

impl Drop for StreamGuard<'_> {
    fn drop(&mut self) {
        let unanswered = lock(&self.link.pending).remove(&self.stream).is_some();
        if unanswered {
            // When the queue is full the peer finds out by the call's deadline.
            let cancel = Frame::new(self.stream, Message::Cancel);
            let _ = self.link.sender.try_send(cancel);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

type Reader = FramedRead<ReadHalf<Box<dyn PeerStream>>, FrameCodec>;

async fn read_hello(reader: &mut Reader) -> Result<Peer, PeerFailure> {
    let not_sent = |reason: &str| PeerFailure::NotSent(reason.to_owned());
    let first = tokio::time::timeout(HELLO_TIMEOUT, reader.next())
        .await
        .map_err(|_| not_sent("the peer did not introduce itself in time"))?;
    match first {
        Some(Ok(Frame {
            message: Ok(Message::Hello(hello)),
            ..
        })) => Peer::of_hello(&hello).ok_or_else(|| not_sent("the peer's address is malformed")),
        Some(Err(error)) => Err(PeerFailure::NotSent(error.to_string())),
        Some(Ok(_)) => Err(not_sent("the other end is no peer")),
        None => Err(not_sent("the connection closed")),
    }
}

fn spawn_writer(
    write_half: tokio::io::WriteHalf<Box<dyn PeerStream>>,
    frames: mpsc::Receiver<Frame>,
    closed: CancellationToken,
) {
    tokio::spawn(async move {
        tokio::select! {
            biased;
            () = closed.cancelled() => {}
            result = write_frames(write_half, frames) => {
                if let Err(error) = result {
                    tracing::debug!(%error, "peer link can't be written");
                }
            }
        }
        closed.cancel();
    });
}

fn spawn_reader(mut reader: Reader, pending: PendingStreams, closed: CancellationToken) {
    tokio::spawn(async move {
        loop {
            let frame = tokio::select! {
                biased;
                () = closed.cancelled() => break,
                frame = reader.next() => frame,
            };
            match frame {
                Some(Ok(frame)) => deliver(&pending, frame),
                Some(Err(error)) => {
                    tracing::warn!(%error, "peer link is damaged and closes");
                    break;
                }
                None => break,
            }
        }
        closed.cancel();
        // Waiting streams see their sender dropped and know that the answer is lost.
        lock(&pending).clear();
    });
}

/// Hands a frame to the stream that waits for it. A late one finds no owner and is dropped; one
/// that can't be read ends its stream only.
fn deliver(pending: &PendingStreams, frame: Frame) {
    let mut streams = lock(pending);
    let Some(mut row) = streams.remove(&frame.stream) else {
        tracing::debug!(stream = frame.stream.0, "late frame dropped");
        return;
    };
    match (frame.message, row.partial.take()) {
        (Ok(Message::Chunk(chunk)), Some((head, mut assembly))) => {
            if assembly.push(&chunk).is_err() {
                return;
            }
            row.partial = Some((head, assembly));
        }
        (Ok(Message::Answer(head)), None) => {
            let assembly = BodyAssembly::new(head.body_length, head.body_checksum);
            row.partial = Some((Message::Answer(head), assembly));
        }
        (Ok(message), None) => {
            let whole = BodyAssembly::new(0, crc32fast::hash(&[]));
            row.partial = Some((message, whole));
        }
        (Ok(_), Some(_)) | (Err(_), _) => return,
    }
    let whole = row
        .partial
        .as_ref()
        .is_some_and(|(_, assembly)| assembly.is_whole());
    if !whole {
        streams.insert(frame.stream, row);
        return;
    }
    drop(streams);
    if let Some((message, assembly)) = row.partial
        && let Ok(body) = assembly.finish()
    {
        // The waiting task may be gone already.
        let _ = row.reply.send(Reply { message, body });
    }
}
