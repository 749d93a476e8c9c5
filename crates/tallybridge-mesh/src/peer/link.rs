//! A link that this node opened to another: calls go out on it, answers come back.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use rand::Rng;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{Notify, mpsc, oneshot},
    time::{Instant, sleep, timeout},
};

use super::message::{CallMessage, Frame, Message};
use crate::{
    http::client::connect,
    node::Node,
    tables::{Load, NodeRecord},
};

/// Time in which a connection must come up and the other node must say who it is.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which unacknowledged bytes end a link.
pub const LINK_SILENCE: Duration = Duration::from_millis(2500);
/// Waits between attempts to open a link.
const REOPEN_MIN: Duration = Duration::from_millis(100);
const REOPEN_MAX: Duration = Duration::from_millis(1000);
/// A link that carries calls is asked for a sign of life after this time without one.
const PING_BUSY: Duration = Duration::from_millis(300);
/// A link at rest is asked this often, in a small fleet.
const PING_IDLE: Duration = Duration::from_millis(1000);
/// In a large fleet, each node of it adds this to the time between two such questions, so that
/// what a node sends at rest does not grow with the fleet.
const PING_IDLE_PER_NODE: Duration = Duration::from_millis(12);
/// A link that leaves a ping unanswered for this time is suspect: new calls go elsewhere.
const SUSPECT_AFTER: Duration = Duration::from_millis(350);
/// After this time the calls on it that may run again are given up, to be sent elsewhere.
const GIVE_UP_AFTER: Duration = Duration::from_millis(700);
/// A link that leaves a ping unanswered for this time is closed.
const CLOSE_AFTER: Duration = Duration::from_millis(2500);
/// Room that is made for each read, in bytes.
const READ_BYTES: usize = 4 * 1024;
/// Frames that are written in one call.
const MAX_BATCH: usize = 64;

/// A call that got no answer over its link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum LinkError {
    /// The call was not handed to the link.
    #[error("link is closed")]
    NotSent,
    /// The link was lost while the call was under way.
    #[error("link was lost")]
    Lost,
}

/// What came back for a call.
#[derive(Debug)]
pub enum Reply {
    /// The whole answer of a back end.
    Answer {
        /// Its status.
        status: u16,
        /// How busy the back end is.
        load: Load,
        /// Its header lines.
        head: Bytes,
        /// Its body.
        body: Bytes,
    },
    /// No answer, and why.
    Refusal {
        /// Wire value of the error kind.
        kind: u8,
        /// Wire value of the outcome.
        outcome: u8,
        /// When to come back, in milliseconds; 0 when not told.
        retry_after_ms: u32,
        /// How busy the back end is.
        load: Load,
    },
}

#[derive(Debug)]
struct WaitingCall {
    may_repeat: bool,
    reply: oneshot::Sender<Result<Reply, LinkError>>,
}

#[derive(Debug)]
struct LinkState {
    next_call: u32,
    waiting: HashMap<u32, WaitingCall>,
    is_closed: bool,
    received_at: Instant,
    pinged_at: Option<Instant>,
}

/// An open link.
#[derive(Debug)]
pub struct Link {
    peer: String,
    sender: mpsc::UnboundedSender<Bytes>,
    state: Mutex<LinkState>,
    is_suspect: AtomicBool,
    closing: Notify,
}

impl Link {
    /// A link to the node of a name, whose frames go to `sender`.
    #[must_use]
    pub fn new(peer: &str, sender: mpsc::UnboundedSender<Bytes>) -> Self {
        Self {
            peer: peer.to_owned(),
            sender,
            state: Mutex::new(LinkState {
                next_call: 1,
                waiting: HashMap::new(),
                is_closed: false,
                received_at: Instant::now(),
                pinged_at: None,
            }),
            is_suspect: AtomicBool::new(false),
            closing: Notify::new(),
        }
    }

    /// Whether the other node has not answered for a while.
    #[must_use]
    pub fn is_suspect(&self) -> bool {
        self.is_suspect.load(Ordering::Relaxed)
    }

    /// Sends a call. Dropping what is returned cancels the call.
    ///
    /// # Errors
    ///
    /// [`LinkError::NotSent`] when the link is closed.
    pub fn call(self: &Arc<Self>, message: CallMessage) -> Result<LinkCall, LinkError> {
        let (reply, receiver) = oneshot::channel();
        let mut state = self.state();
        if state.is_closed {
            return Err(LinkError::NotSent);
        }
        let call = state.next_call;
        state.next_call = state.next_call.wrapping_add(1).max(1);
        let may_repeat = message.may_repeat;
        state
            .waiting
            .insert(call, WaitingCall { may_repeat, reply });
        drop(state);
        let message = Message::Call(message);
        self.send(&Frame { call, message });
        Ok(LinkCall {
            link: self.clone(),
            call,
            receiver,
        })
    }

    /// Sends a frame; a closed link drops it.
    pub fn send(&self, frame: &Frame) {
        let _ = self.sender.send(frame.encode());
    }

    /// Asks for a sign of life where one is due, and draws the conclusions of silence.
    pub fn check(&self, now: Instant, fleet_size: u32) {
        let mut state = self.state();
        let Some(pinged_at) = state.pinged_at else {
            let silent = now.saturating_duration_since(state.received_at);
            let due = if state.waiting.is_empty() {
                PING_IDLE.max(PING_IDLE_PER_NODE * fleet_size)
            } else {
                PING_BUSY
            };
            if silent >= due {
                state.pinged_at = Some(now);
                drop(state);
                self.send(&Frame::of_link(Message::Ping));
            }
            return;
        };
        let unanswered = now.saturating_duration_since(pinged_at);
        if unanswered >= CLOSE_AFTER {
            self.closing.notify_one();
            return;
        }
        if unanswered >= SUSPECT_AFTER && !self.is_suspect.swap(true, Ordering::Relaxed) {
            let calls = state.waiting.len();
            tracing::warn!(peer = self.peer, calls, "link suspect");
        }
        if unanswered >= GIVE_UP_AFTER {
            give_up_repeatable(&mut state);
        }
    }

    fn received(&self, now: Instant) {
        let mut state = self.state();
        state.received_at = now;
        state.pinged_at = None;
        if self.is_suspect.swap(false, Ordering::Relaxed) {
            tracing::info!(peer = self.peer, "link sound again");
        }
    }

    fn complete(&self, call: u32, reply: Reply) {
        let waiting = self.state().waiting.remove(&call);
        if let Some(waiting) = waiting {
            // The caller may have given up meanwhile.
            let _ = waiting.reply.send(Ok(reply));
        }
    }

    fn close(&self) {
        let mut state = self.state();
        state.is_closed = true;
        for (_, waiting) in state.waiting.drain() {
            let _ = waiting.reply.send(Err(LinkError::Lost));
        }
    }

    fn state(&self) -> MutexGuard<'_, LinkState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Calls that may run again don't wait for a silent node.
fn give_up_repeatable(state: &mut LinkState) {
    let lost: Vec<u32> = state
        .waiting
        .iter()
        .filter(|(_, waiting)| waiting.may_repeat)
        .map(|(call, _)| *call)
        .collect();
    for call in lost {
        if let Some(waiting) = state.waiting.remove(&call) {
            let _ = waiting.reply.send(Err(LinkError::Lost));
        }
    }
}

/// A call under way.
#[derive(Debug)]
pub struct LinkCall {
    link: Arc<Link>,
    call: u32,
    receiver: oneshot::Receiver<Result<Reply, LinkError>>,
}

impl LinkCall {
    /// Waits for what comes back.
    ///
    /// # Errors
    ///
    /// [`LinkError::Lost`] when the link is lost first.
    pub async fn reply(&mut self) -> Result<Reply, LinkError> {
        (&mut self.receiver).await.unwrap_or(Err(LinkError::Lost))
    }
}

impl Drop for LinkCall {
    fn drop(&mut self) {
        let was_waiting = self.link.state().waiting.remove(&self.call).is_some();
        let was_given_up = self.link.is_suspect();
        if was_waiting || was_given_up {
            self.link.send(&Frame {
                call: self.call,
                message: Message::Cancel,
            });
        }
    }
}

/// Keeps a link to the node at an address for as long as that node is part of the fleet.
pub async fn keep_link(node: Arc<Node>, address: SocketAddr) {
    let mut wait = REOPEN_MIN;
    loop {
        match open(&node, address).await {
            Ok((record, link)) => {
                wait = REOPEN_MIN;
                tracing::info!(peer = record.node, service = record.service, "link opened");
                let reason = run(&node, record, link).await;
                tracing::info!(%address, reason, "link lost");
            }
            Err(error) => tracing::debug!(%address, %error, "link not opened"),
        }
        if node.forget_peer(address) {
            return;
        }
        let jitter = rand::rng().random_range(0.7..1.3);
        sleep(wait.mul_f64(jitter)).await;
        wait = (wait * 2).min(REOPEN_MAX);
    }
}

struct OpenLink {
    link: Arc<Link>,
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
    frames: mpsc::UnboundedReceiver<Bytes>,
    buffer: BytesMut,
}

async fn open(node: &Arc<Node>, address: SocketAddr) -> io::Result<(NodeRecord, OpenLink)> {
    let stream = connect(address, OPEN_TIMEOUT, LINK_SILENCE).await?;
    timeout(OPEN_TIMEOUT, introduce(node, stream))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}

async fn introduce(node: &Arc<Node>, stream: TcpStream) -> io::Result<(NodeRecord, OpenLink)> {
    let (mut reader, mut writer) = stream.into_split();
    let hello = Frame::of_link(Message::Hello(node.hello()));
    writer.write_all(&hello.encode()).await?;
    let mut buffer = BytesMut::new();
    let frame = next_frame(&mut reader, &mut buffer).await?;
    let Message::Hello(record) = frame.message else {
        return Err(invalid("the first frame is no introduction"));
    };
    let record: NodeRecord = serde_json::from_slice(&record).map_err(invalid)?;
    let (sender, frames) = mpsc::unbounded_channel();
    let open = OpenLink {
        link: Arc::new(Link::new(&record.node, sender)),
        reader,
        writer,
        frames,
        buffer,
    };
    Ok((record, open))
}

fn invalid(error: impl ToString) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error.to_string())
}

/// Runs a link until it is lost; gives the reason.
async fn run(node: &Arc<Node>, record: NodeRecord, open: OpenLink) -> String {
    let OpenLink {
        link,
        mut reader,
        writer,
        frames,
        mut buffer,
    } = open;
    // The record's own address may differ from the one dialled only by mistake of its sender.
    let address = record.address;
    node.peer_connected(record, link.clone());
    if node.wants_nodes() {
        link.send(&Frame::of_link(Message::FetchNodes));
    }
    let writing = tokio::spawn(write_frames(writer, frames));
    let reading = async {
        loop {
            match next_frame(&mut reader, &mut buffer).await {
                Ok(frame) => {
                    link.received(Instant::now());
                    take_in(node, address, &link, frame);
                }
                Err(error) => return error.to_string(),
            }
        }
    };
    let reason = tokio::select! {
        reason = reading => reason,
        () = link.closing.notified() => "no sign of life".to_owned(),
    };
    writing.abort();
    link.close();
    node.peer_disconnected(address);
    reason
}

fn take_in(node: &Arc<Node>, address: SocketAddr, link: &Link, frame: Frame) {
    match frame.message {
        Message::Answer {
            status,
            load,
            head,
            body,
        } => {
            node.peer_load(address, load);
            let reply = Reply::Answer {
                status,
                load,
                head,
                body,
            };
            link.complete(frame.call, reply);
        }
        Message::Refusal {
            kind,
            outcome,
            retry_after_ms,
            load,
        } => {
            node.peer_load(address, load);
            let reply = Reply::Refusal {
                kind,
                outcome,
                retry_after_ms,
                load,
            };
            link.complete(frame.call, reply);
        }
        Message::Status(status) => node.peer_status(address, status),
        Message::Nodes(nodes) => node.learn_nodes(&nodes),
        Message::Configuration(document) => node.offer_configuration(&document),
        _ => {}
    }
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
