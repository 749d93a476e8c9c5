//! A link that this node opened to another: calls go out on it, answers come back.

pub mod framing;

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use tokio::{
    sync::{Notify, mpsc, oneshot},
    time::{Instant, sleep},
};

use crate::{
    clock::BootInstant,
    protocol::{
        AnswerMessage, CallMessage, Frame, Message, QuotaAsk, QuotaAskMessage, QuotaGrant,
        RefusalMessage,
    },
};

/// A link that carries calls is asked for a sign of life after this time without one.
const PING_BUSY: Duration = Duration::from_millis(300);
/// A link at rest is asked this often, where there are few.
const PING_IDLE: Duration = Duration::from_millis(1000);
/// Where there are many links, each adds this to the time between two such questions, so that
/// what a node sends at rest does not grow with them.
const PING_IDLE_PER_LINK: Duration = Duration::from_millis(12);
/// A link that leaves a ping unanswered for this time is suspect: new calls go elsewhere.
const SUSPECT_AFTER: Duration = Duration::from_millis(350);
/// After this time the calls on it that may run again are given up, to be sent elsewhere.
const GIVE_UP_AFTER: Duration = Duration::from_millis(700);
/// A link that leaves a ping unanswered for this time is closed.
const CLOSE_AFTER: Duration = Duration::from_millis(2500);
/// Time between looks whether the last call on a link that is not needed has ended.
const RETIRE_LOOK: Duration = Duration::from_millis(50);

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
    Answer(AnswerMessage),
    /// No answer, and why.
    Refusal(RefusalMessage),
    /// The answer to a request for tokens.
    Quota(QuotaGrant),
}

#[derive(Debug)]
struct WaitingCall {
    is_idempotent: bool,
    reply: oneshot::Sender<Result<Reply, LinkError>>,
}

#[derive(Debug)]
struct LinkState {
    next_call: u32,
    waiting: HashMap<u32, WaitingCall>,
    is_closed: bool,
    received_at: Instant,
    pinged_at: Option<Instant>,
    peer_clock: Option<PeerClock>,
}

/// A time on the other node's clock that was not before a time here.
///
/// What a node tells may be held up on the way for seconds, so its age when it arrives says little.
/// The other node told its clock in answer to this one's introduction: its time then was not before
/// the introduction was sent. From there its later times are dated too early rather than too late.
#[derive(Debug, Clone, Copy)]
struct PeerClock {
    not_before: BootInstant,
    peer_ms: u64,
}

impl PeerClock {
    fn date(self, peer_ms: u64) -> Option<BootInstant> {
        let since = Duration::from_millis(peer_ms.abs_diff(self.peer_ms));
        if peer_ms >= self.peer_ms {
            self.not_before.checked_add(since)
        } else {
            self.not_before.checked_sub(since)
        }
    }
}

/// An open link.
#[derive(Debug)]
pub struct Link {
    peer: String,
    sender: mpsc::UnboundedSender<Bytes>,
    state: Mutex<LinkState>,
    is_suspect: AtomicBool,
    closing: Notify,
    retiring: Notify,
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
                peer_clock: None,
            }),
            is_suspect: AtomicBool::new(false),
            closing: Notify::new(),
            retiring: Notify::new(),
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
        let is_idempotent = message.is_idempotent;
        self.request(Message::Call(message), is_idempotent)
    }

    /// Asks the node, as the home of a tenant, for tokens; for another node if `is_forwarded`.
    ///
    /// # Errors
    ///
    /// [`LinkError::NotSent`] when the link is closed.
    pub fn ask_quota(
        self: &Arc<Self>,
        tenant: &str,
        ask: QuotaAsk,
        is_forwarded: bool,
    ) -> Result<LinkCall, LinkError> {
        let message = QuotaAskMessage {
            tenant: Bytes::copy_from_slice(tenant.as_bytes()),
            ask,
            is_forwarded,
        };
        self.request(Message::QuotaAsk(message), true)
    }

    /// Sends what is answered by number.
    fn request(
        self: &Arc<Self>,
        message: Message,
        is_idempotent: bool,
    ) -> Result<LinkCall, LinkError> {
        let (reply, receiver) = oneshot::channel();
        let mut state = self.state();
        if state.is_closed {
            return Err(LinkError::NotSent);
        }
        let call = state.next_call;
        state.next_call = state.next_call.wrapping_add(1).max(1);
        state.waiting.insert(
            call,
            WaitingCall {
                is_idempotent,
                reply,
            },
        );
        drop(state);
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
    pub fn check(&self, now: Instant, links: u32) {
        let mut state = self.state();
        let Some(pinged_at) = state.pinged_at else {
            let silent = now.saturating_duration_since(state.received_at);
            let due = if state.waiting.is_empty() {
                PING_IDLE.max(PING_IDLE_PER_LINK * links)
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

    /// Something came from the other node: it lives.
    pub(crate) fn received(&self, now: Instant) {
        let mut state = self.state();
        state.received_at = now;
        state.pinged_at = None;
        if self.is_suspect.swap(false, Ordering::Relaxed) {
            tracing::info!(peer = self.peer, "link sound again");
        }
    }

    /// The other node told its clock in answer to what was sent at a time.
    pub fn learn_clock(&self, sent_at: BootInstant, peer_ms: u64) {
        self.state().peer_clock = Some(PeerClock {
            not_before: sent_at,
            peer_ms,
        });
    }

    /// A time on the other node's clock as one here, or an earlier one; `None` while its clock is
    /// not known.
    #[must_use]
    pub fn date(&self, peer_ms: u64) -> Option<BootInstant> {
        self.state().peer_clock?.date(peer_ms)
    }

    /// A call came back.
    pub(crate) fn complete(&self, call: u32, reply: Reply) {
        let waiting = self.state().waiting.remove(&call);
        if let Some(waiting) = waiting {
            // The caller may have given up meanwhile.
            let _ = waiting.reply.send(Ok(reply));
        }
    }

    /// Waits until the other node has been silent for too long.
    pub(crate) async fn silent_too_long(&self) {
        self.closing.notified().await;
    }

    /// The link is not needed any more: it is closed when no call is under way on it.
    pub fn retire(&self) {
        self.retiring.notify_one();
    }

    /// Waits until the link is not needed and no call is under way on it.
    pub(crate) async fn retired(&self) {
        self.retiring.notified().await;
        while !self.state().waiting.is_empty() {
            sleep(RETIRE_LOOK).await;
        }
    }

    /// The connection is lost, and with it every call under way.
    pub(crate) fn close(&self) {
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
        .filter(|(_, waiting)| waiting.is_idempotent)
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
