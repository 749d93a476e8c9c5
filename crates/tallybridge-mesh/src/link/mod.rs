//! A link that this node opened to another: calls go out on it, answers come back.
//!
//! A [`Link`] owns the calls that wait for an answer on it and numbers them, so that many share one
//! connection and answers come in any order. It decides by [`liveness`] whether the other node is
//! still there. Opening connections and reading frames is the work of `tasks::links`; the other
//! end is `listener::peers`.

pub mod framing;
pub mod liveness;
mod peer_clock;
mod waiting;

use std::{
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

use self::{
    framing::FrameSender,
    liveness::{Liveness, Verdict},
    peer_clock::PeerClock,
    waiting::{CallResult, WaitingCalls},
};
use crate::{
    clock::BootInstant,
    protocol::{
        AnswerMessage, CallMessage, Frame, Message, QuotaGrant, QuotaRequest, QuotaRequestMessage,
        RefusalMessage,
    },
};

/// Time between two checks whether the last call on a retired link has ended. Nothing waits for the
/// link to close, so it need not be short. Origin not recorded.
const RETIRE_CHECK: Duration = Duration::from_millis(50);

/// A call that got no answer over its link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum LinkError {
    /// The call was not sent.
    #[error("link is closed")]
    NotSent,
    /// The link was lost, or the call given up, after it was sent.
    #[error("link was lost")]
    Lost,
}

/// What came back for a call.
#[derive(Debug)]
pub enum Reply {
    /// The complete answer of a back end.
    Answer(AnswerMessage),
    /// No answer, and why.
    Refusal(RefusalMessage),
    /// The answer to a request for tokens.
    Quota(QuotaGrant),
}

/// An open link.
#[derive(Debug)]
pub struct Link {
    peer: String,
    sender: FrameSender,
    state: Mutex<LinkState>,
    is_suspect: AtomicBool,
    unresponsive: Notify,
    retiring: Notify,
}

#[derive(Debug)]
struct LinkState {
    waiting: WaitingCalls,
    liveness: Liveness,
    peer_clock: Option<PeerClock>,
}

impl Link {
    /// A link to the node named `peer`, whose frames go to `sender`.
    #[must_use]
    pub fn new(peer: &str, sender: mpsc::UnboundedSender<Bytes>) -> Self {
        Self {
            peer: peer.to_owned(),
            sender: FrameSender::new(sender),
            state: Mutex::new(LinkState {
                waiting: WaitingCalls::new(),
                liveness: Liveness::new(Instant::now()),
                peer_clock: None,
            }),
            is_suspect: AtomicBool::new(false),
            unresponsive: Notify::new(),
            retiring: Notify::new(),
        }
    }

    /// Whether the other node has been silent for so long that new calls should go elsewhere.
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

    /// Asks the node, as the owner of a tenant's quota, for tokens; for another node if
    /// `is_forwarded`.
    ///
    /// # Errors
    ///
    /// [`LinkError::NotSent`] when the link is closed.
    pub fn ask_quota(
        self: &Arc<Self>,
        tenant: &str,
        ask: QuotaRequest,
        is_forwarded: bool,
    ) -> Result<LinkCall, LinkError> {
        let message = QuotaRequestMessage {
            tenant: Bytes::copy_from_slice(tenant.as_bytes()),
            request: ask,
            is_forwarded,
        };
        self.request(Message::QuotaRequest(message), true)
    }

    /// Sends a message to which the reply has the same call number.
    fn request(
        self: &Arc<Self>,
        message: Message,
        is_idempotent: bool,
    ) -> Result<LinkCall, LinkError> {
        let (reply, receiver) = oneshot::channel();
        let call = self.state().waiting.add(is_idempotent, reply)?;
        self.send(&Frame { call, message });
        Ok(LinkCall {
            link: self.clone(),
            call,
            receiver,
        })
    }

    /// Sends a frame; a closed link drops it.
    pub fn send(&self, frame: &Frame) {
        self.sender.send(frame);
    }

    /// Judges the link by its [`liveness`] and acts on that. Called with each tick of the node,
    /// which has `links` links.
    pub fn check(&self, now: Instant, links: u32) {
        let mut state = self.state();
        let has_calls = !state.waiting.is_empty();
        match state.liveness.judge(now, has_calls, links) {
            Verdict::Alive => {}
            Verdict::PingDue => {
                drop(state);
                self.send(&Frame::without_call(Message::Ping));
            }
            Verdict::Suspect => self.suspect(&state),
            Verdict::GiveUpCalls => {
                self.suspect(&state);
                state.waiting.give_up_idempotent();
            }
            Verdict::Lost => self.unresponsive.notify_one(),
        }
    }

    fn suspect(&self, state: &LinkState) {
        if !self.is_suspect.swap(true, Ordering::Relaxed) {
            let calls = state.waiting.len();
            tracing::warn!(peer = self.peer, calls, "link suspect");
        }
    }

    /// A frame came from the other node: it is alive.
    pub(crate) fn received(&self, now: Instant) {
        let mut state = self.state();
        state.liveness.received(now);
        if self.is_suspect.swap(false, Ordering::Relaxed) {
            tracing::info!(peer = self.peer, "link sound again");
        }
    }

    /// The other node sent its clock, in milliseconds, in answer to a hello that was sent at
    /// `hello_sent_at`.
    pub fn set_peer_clock(&self, hello_sent_at: BootInstant, peer_ms: u64) {
        self.state().peer_clock = Some(PeerClock::new(hello_sent_at, peer_ms));
    }

    /// A time on the other node's clock, in milliseconds, as one here, or an earlier one; `None`
    /// while its clock is not known.
    #[must_use]
    pub fn to_local_time(&self, peer_ms: u64) -> Option<BootInstant> {
        self.state().peer_clock?.to_local(peer_ms)
    }

    /// A call came back.
    pub(crate) fn complete(&self, call: u32, reply: Reply) {
        self.state().waiting.complete(call, reply);
    }

    /// Waits until the other node has been silent for so long that the link is to be closed.
    pub(crate) async fn unresponsive(&self) {
        self.unresponsive.notified().await;
    }

    /// The link is not needed any more: it is closed once no call is under way on it.
    pub fn retire(&self) {
        self.retiring.notify_one();
    }

    /// Waits until the link is not needed and no call is under way on it.
    pub(crate) async fn retired(&self) {
        self.retiring.notified().await;
        while !self.state().waiting.is_empty() {
            sleep(RETIRE_CHECK).await;
        }
    }

    /// The connection is lost, and with it every call under way.
    pub(crate) fn close(&self) {
        self.state().waiting.close();
    }

    fn state(&self) -> MutexGuard<'_, LinkState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A call under way.
#[derive(Debug)]
pub struct LinkCall {
    link: Arc<Link>,
    call: u32,
    receiver: oneshot::Receiver<CallResult>,
}

impl LinkCall {
    /// Waits for what comes back.
    ///
    /// # Errors
    ///
    /// [`LinkError::Lost`] when the link is lost or the call given up first.
    pub async fn reply(&mut self) -> Result<Reply, LinkError> {
        (&mut self.receiver).await.unwrap_or(Err(LinkError::Lost))
    }
}

impl Drop for LinkCall {
    fn drop(&mut self) {
        let was_waiting = self.link.state().waiting.remove(self.call);
        // A call that was given up is not waiting any more, but may still run at the other node.
        let may_be_given_up = self.link.is_suspect();
        if was_waiting || may_be_given_up {
            self.link.send(&Frame {
                call: self.call,
                message: Message::Cancel,
            });
        }
    }
}
