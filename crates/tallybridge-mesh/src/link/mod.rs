//! A link that this node opened to another: calls go out on it, answers come back.
//!
//! A [`Link`] owns the calls that wait for an answer on it and numbers them, so that many share one
//! connection and answers come in any order. It decides by [`liveness`] whether the other node is
//! still there. Opening connections and reading frames is the work of `tasks::links`; the other
//! end is `listener::peers`.

pub mod framing;
pub mod liveness;
mod peer_clock;

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

use self::{
    framing::FrameSender,
    liveness::{Liveness, Verdict},
    peer_clock::PeerClock,
};
use crate::{
    clock::BootInstant,
    protocol::{
        AnswerMessage, CallMessage, Frame, Message, QuotaAsk, QuotaAskMessage, QuotaGrant,
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
    /// The whole answer of a back end.
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
    next_call: u32,
    waiting: HashMap<u32, WaitingCall>,
    is_closed: bool,
    liveness: Liveness,
    peer_clock: Option<PeerClock>,
}

#[derive(Debug)]
struct WaitingCall {
    is_idempotent: bool,
    reply: oneshot::Sender<Result<Reply, LinkError>>,
}

impl WaitingCall {
    fn end(self, result: Result<Reply, LinkError>) {
        // Fails only when nobody waits for the call any more: its deadline passed, or its caller left.
        let _ = self.reply.send(result);
    }
}

impl Link {
    /// A link to the node named `peer`, whose frames go to `sender`.
    #[must_use]
    pub fn new(peer: &str, sender: mpsc::UnboundedSender<Bytes>) -> Self {
        Self {
            peer: peer.to_owned(),
            sender: FrameSender::new(sender),
            state: Mutex::new(LinkState {
                next_call: 1,
                waiting: HashMap::new(),
                is_closed: false,
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

    /// Sends a message to which the reply has the same call number.
    fn request(
        self: &Arc<Self>,
        message: Message,
        is_idempotent: bool,
    ) -> Result<LinkCall, LinkError> {
        let (reply, receiver) = oneshot::channel();
        let waiting = WaitingCall {
            is_idempotent,
            reply,
        };
        let call = self.state().add(waiting)?;
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
                self.send(&Frame::of_link(Message::Ping));
            }
            Verdict::Suspect => self.suspect(&state),
            Verdict::GiveUpCalls => {
                self.suspect(&state);
                state.give_up_idempotent();
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
        let waiting = self.state().waiting.remove(&call);
        if let Some(waiting) = waiting {
            waiting.end(Ok(reply));
        }
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
        let mut state = self.state();
        state.is_closed = true;
        for (_, waiting) in state.waiting.drain() {
            waiting.end(Err(LinkError::Lost));
        }
    }

    fn state(&self) -> MutexGuard<'_, LinkState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl LinkState {
    /// Numbers a call and waits for its reply.
    fn add(&mut self, waiting: WaitingCall) -> Result<u32, LinkError> {
        if self.is_closed {
            return Err(LinkError::NotSent);
        }
        let call = self.next_call;
        // 0 stands for no call.
        self.next_call = self.next_call.wrapping_add(1).max(1);
        self.waiting.insert(call, waiting);
        Ok(call)
    }

    fn give_up_idempotent(&mut self) {
        let idempotent = |_: &u32, waiting: &mut WaitingCall| waiting.is_idempotent;
        for (_, waiting) in self.waiting.extract_if(idempotent) {
            waiting.end(Err(LinkError::Lost));
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
    /// [`LinkError::Lost`] when the link is lost or the call given up first.
    pub async fn reply(&mut self) -> Result<Reply, LinkError> {
        (&mut self.receiver).await.unwrap_or(Err(LinkError::Lost))
    }
}

impl Drop for LinkCall {
    fn drop(&mut self) {
        let was_waiting = self.link.state().waiting.remove(&self.call).is_some();
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
