//! Links that this node opened to other nodes. Calls are sent on a link, and replies return on it.
//!
//! A [`Link`] owns and numbers its pending calls, so that many calls share one connection and replies
//! may arrive in any order. [`liveness`] judges whether the peer is alive. `tasks::links` opens the
//! connections and reads the frames, and `listener::peers` is the accepting side.

pub mod framing;
pub mod liveness;
mod peer_clock;
mod pending;

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
    framing::{FrameSender, QueuedFrame},
    liveness::{Liveness, Verdict},
    peer_clock::PeerClock,
    pending::{CallResult, PendingCalls},
};
use crate::{
    clock::BootInstant,
    protocol::{
        AnswerMessage, CallMessage, Frame, Message, QuotaGrant, QuotaRequest, QuotaRequestMessage,
        RefusalMessage,
    },
};

/// Time between checks whether the last call on a retired link has ended.
const RETIRE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Reason why a call received no reply over its link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum LinkError {
    /// The link was closed before the call was sent.
    #[error("link is closed")]
    NotSent,
    /// The link closed, or the call was abandoned, after the call was sent.
    #[error("link closed or call abandoned before a reply arrived")]
    NoReply,
}

/// Reply of the peer to a call.
#[derive(Debug)]
pub enum Reply {
    /// Complete answer of a back end.
    Answer(AnswerMessage),
    /// Refusal of the call, with the reason.
    Refusal(RefusalMessage),
    /// Reply to a request for quota tokens.
    Quota(QuotaGrant),
}

/// An open link to another node, on which this node sends calls.
#[derive(Debug)]
pub struct Link {
    peer: String,
    sender: FrameSender,
    state: Mutex<LinkState>,
    is_suspect: AtomicBool,
    unresponsive: Notify,
    retire_requested: Notify,
}

#[derive(Debug)]
struct LinkState {
    pending: PendingCalls,
    liveness: Liveness,
    peer_clock: Option<PeerClock>,
}

impl Link {
    /// Creates a link to the node named `peer`, which queues its frames in `sender`.
    #[must_use]
    pub fn new(peer: &str, sender: mpsc::UnboundedSender<QueuedFrame>) -> Self {
        Self {
            peer: peer.to_owned(),
            sender: FrameSender::new(sender),
            state: Mutex::new(LinkState {
                pending: PendingCalls::new(),
                liveness: Liveness::new(Instant::now()),
                peer_clock: None,
            }),
            is_suspect: AtomicBool::new(false),
            unresponsive: Notify::new(),
            retire_requested: Notify::new(),
        }
    }

    /// Returns the name of the peer.
    #[must_use]
    pub fn peer(&self) -> &str {
        &self.peer
    }

    /// Returns whether frames can still be sent.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.sender.is_open()
    }

    /// Returns whether new calls should avoid the link because the peer does not answer a ping.
    #[must_use]
    pub fn is_suspect(&self) -> bool {
        self.is_suspect.load(Ordering::Relaxed)
    }

    /// Sends a call. Dropping the returned [`LinkCall`] cancels the call.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::NotSent`] if the link is closed.
    pub fn call(self: &Arc<Self>, message: CallMessage) -> Result<LinkCall, LinkError> {
        let is_idempotent = message.is_idempotent;
        self.send_request(Message::Call(message), is_idempotent)
    }

    /// Requests tokens from the peer as the owner of a tenant's quota. `is_forwarded` means that the
    /// request is on behalf of another node.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::NotSent`] if the link is closed.
    pub fn request_tokens(
        self: &Arc<Self>,
        tenant: &str,
        request: QuotaRequest,
        is_forwarded: bool,
    ) -> Result<LinkCall, LinkError> {
        let message = QuotaRequestMessage {
            tenant: Bytes::copy_from_slice(tenant.as_bytes()),
            request,
            is_forwarded,
        };
        self.send_request(Message::QuotaRequest(message), true)
    }

    /// Sends a message under a new call number, which its reply repeats.
    fn send_request(
        self: &Arc<Self>,
        message: Message,
        is_idempotent: bool,
    ) -> Result<LinkCall, LinkError> {
        let (reply, receiver) = oneshot::channel();
        let call = self.state().pending.add(is_idempotent, reply)?;
        self.send(&Frame { call, message });
        Ok(LinkCall {
            link: self.clone(),
            call,
            receiver,
        })
    }

    /// Queues a frame. A closed link drops the frame.
    pub fn send(&self, frame: &Frame) {
        self.sender.send(frame);
    }

    /// Applies the [`liveness`] rules to the link. The node calls this on every tick with the number
    /// of its links.
    pub fn check(&self, now: Instant, link_count: u32) {
        let mut state = self.state();
        let has_calls = !state.pending.is_empty();
        match state.liveness.judge(now, has_calls, link_count) {
            Verdict::Alive => {}
            Verdict::PingDue => {
                drop(state);
                self.send(&Frame::without_call(Message::Ping));
            }
            Verdict::Suspect => self.mark_suspect(&state),
            Verdict::AbandonCalls => {
                self.mark_suspect(&state);
                state.pending.abandon_idempotent();
            }
            Verdict::Unresponsive => self.unresponsive.notify_one(),
        }
    }

    fn mark_suspect(&self, state: &LinkState) {
        if !self.is_suspect.swap(true, Ordering::Relaxed) {
            let calls = state.pending.len();
            tracing::warn!(
                peer = self.peer,
                calls,
                "link is suspect; new calls avoid it"
            );
        }
    }

    /// Records the arrival of a frame, which shows that the peer is alive.
    pub(crate) fn record_frame(&self, now: Instant) {
        let mut state = self.state();
        state.liveness.record_frame(now);
        if self.is_suspect.swap(false, Ordering::Relaxed) {
            tracing::info!(peer = self.peer, "link is healthy again");
        }
    }

    /// Sets the reading of the peer's clock, in milliseconds, that answered the hello sent at
    /// `hello_sent_at`.
    pub fn set_peer_clock(&self, hello_sent_at: BootInstant, peer_ms: u64) {
        self.state().peer_clock = Some(PeerClock::new(hello_sent_at, peer_ms));
    }

    /// Translates a time in milliseconds on the peer's clock to the local clock.
    ///
    /// The result may be too early by the duration of the handshake, but is never too late. Returns
    /// `None` if the peer's clock is unknown or the time is out of range.
    #[must_use]
    pub fn to_local_time(&self, peer_ms: u64) -> Option<BootInstant> {
        self.state().peer_clock?.to_local(peer_ms)
    }

    /// Delivers the reply to a pending call.
    pub(crate) fn complete(&self, call: u32, reply: Reply) {
        self.state().pending.complete(call, reply);
    }

    /// Waits until the link must be closed because the peer is unresponsive.
    pub(crate) async fn wait_until_unresponsive(&self) {
        self.unresponsive.notified().await;
    }

    /// Requests that the link be closed after its last pending call ends.
    pub fn retire(&self) {
        self.retire_requested.notify_one();
    }

    /// Waits until the link is retired and has no pending calls.
    pub(crate) async fn wait_until_retired(&self) {
        self.retire_requested.notified().await;
        while !self.state().pending.is_empty() {
            sleep(RETIRE_CHECK_INTERVAL).await;
        }
    }

    /// Fails all pending calls, and every later call.
    pub(crate) fn close(&self) {
        self.state().pending.close();
    }

    fn state(&self) -> MutexGuard<'_, LinkState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A pending call on a link. Dropping it cancels the call.
#[derive(Debug)]
pub struct LinkCall {
    link: Arc<Link>,
    call: u32,
    receiver: oneshot::Receiver<CallResult>,
}

impl LinkCall {
    /// Waits for the reply.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::NoReply`] if the link closes or the call is abandoned first.
    pub async fn reply(&mut self) -> Result<Reply, LinkError> {
        (&mut self.receiver)
            .await
            .unwrap_or(Err(LinkError::NoReply))
    }
}

impl Drop for LinkCall {
    fn drop(&mut self) {
        let was_pending = self.link.state().pending.remove(self.call);
        // An abandoned call is no longer pending, but may still run at the peer.
        let may_be_abandoned = self.link.is_suspect();
        if was_pending || may_be_abandoned {
            self.link.send(&Frame {
                call: self.call,
                message: Message::Cancel,
            });
        }
    }
}
