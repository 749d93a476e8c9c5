//! Accepts links from other nodes, and executes the calls that arrive on them.
//!
//! Answers the hello of each link, handles its frames, and sends changes of this node's status. The
//! module `running_calls` tracks the calls of a link. `tasks::links` implements the opposite side.

mod running_calls;

use std::{io, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use tallybridge_core::{ErrorKind, Outcome};
use tokio::{
    net::{TcpListener, TcpStream, tcp::OwnedReadHalf},
    sync::mpsc,
    task::JoinHandle,
    time::timeout,
};

use self::running_calls::RunningCalls;
use crate::{
    clock::BootInstant,
    http::{discard_until_closed, set_liveness_options},
    link::{
        framing::{FrameReader, FrameSender, Received, read_hello, write_frames},
        liveness::UNACKNOWLEDGED_TIMEOUT,
    },
    log::rate_limit::LogRateLimit,
    memory::{Activity, Client, ListenerClients},
    node::Node,
    protocol::{
        ClockMessage, ConfirmationMessage, Frame, FrameContent, FramePreview, Message, QuotaGrant,
        QuotaRequest, QuotaRequestMessage, RefusalMessage,
    },
    request::{MEMORY_RETRY_AFTER, quota},
    tables::ConfirmedVersion,
};

/// Twice the time that the connecting node waits for this node's hello.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a closing link is still read while the peer acknowledges nothing.
const LINK_CLOSE_TIMEOUT: Duration = Duration::from_millis(1000);
/// Avoids a busy loop while accepting fails, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts links from other nodes, each in its own task. Never returns. `unidentified` bounds the connections
/// without a hello.
pub async fn accept_peers(node: Arc<Node>, listener: TcpListener, unidentified: ListenerClients) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let Some(client) = unidentified.admit() else {
                    continue;
                };
                let node = node.clone();
                tokio::spawn(async move {
                    if let Err(error) = serve_peer(node, stream, client).await {
                        tracing::debug!(%error, "link from a peer closed");
                    }
                });
            }
            Err(error) => {
                tracing::warn!(%error, "failed to accept a link from a peer; retrying");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_peer(node: Arc<Node>, stream: TcpStream, client: Client) -> io::Result<()> {
    set_liveness_options(&stream, UNACKNOWLEDGED_TIMEOUT);
    let (mut reader, writer) = stream.into_split();
    let mut buffer = BytesMut::new();
    client.set_activity(Activity::Reading);
    let hello = tokio::select! {
        hello = timeout(HELLO_TIMEOUT, read_hello(&mut reader, &mut buffer)) => hello,
        () = client.connection_demanded() => return Ok(()),
    };
    let record = hello.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    drop(client);
    let keeps_notices = record.keeps_notices;
    node.learn_records([record]);
    let (sender, outgoing_frames) = mpsc::unbounded_channel();
    let writer_task = tokio::spawn(write_frames(writer, outgoing_frames));
    let writer_abort = writer_task.abort_handle();
    let _accepted_link = node.track_accepted_link();
    let link = AcceptedLink::new(node.clone(), FrameSender::new(sender), keeps_notices);
    link.send_initial_state();
    let mut reader = FrameReader::new(reader, buffer, node.memory.clone());
    let is_closing = tokio::select! {
        result = link.run(&mut reader) => Err(result),
        () = node.accepted_links_close() => Ok(()),
    };
    let result = match is_closing {
        Ok(()) => close_link(reader.into_reader(), writer_task).await,
        Err(result) => result,
    };
    writer_abort.abort();
    link.running_calls.abort_idempotent();
    result
}

/// Shuts down the sending side, then reads until the peer has received everything and closes the link, or
/// acknowledges nothing for [`LINK_CLOSE_TIMEOUT`].
/// A process that ends with unread bytes resets its connections, which loses what was written last.
async fn close_link(
    mut reader: OwnedReadHalf,
    writer_task: JoinHandle<io::Result<()>>,
) -> io::Result<()> {
    // Drops the writer, which shuts down the sending side. No reply waits in its queue any more.
    writer_task.abort();
    let _ = writer_task.await;
    discard_until_closed(&mut reader, LINK_CLOSE_TIMEOUT).await
}

/// A link from another node whose hello has arrived.
struct AcceptedLink {
    node: Arc<Node>,
    sender: FrameSender,
    running_calls: RunningCalls,
}

impl AcceptedLink {
    fn new(node: Arc<Node>, sender: FrameSender, keeps_notices: bool) -> Self {
        Self {
            node,
            sender,
            running_calls: RunningCalls::new(keeps_notices),
        }
    }

    /// Answers the hello, and sends the clock, status, store confirmation and quarantine of this node.
    fn send_initial_state(&self) {
        let Self { node, sender, .. } = self;
        sender.send_message(Message::Hello(node.hello()));
        let now_ms = node.clock_ms(BootInstant::now());
        sender.send_message(Message::Clock(ClockMessage { now_ms }));
        sender.send_message(Message::Status(node.status()));
        self.send_confirmation();
        for message in node.quarantine_messages() {
            sender.send_message(message);
        }
    }

    /// Handles frames until the link closes. Sends the status and the store's confirmation on change.
    async fn run(&self, reader: &mut FrameReader) -> io::Result<()> {
        let mut status_changes = self.node.status_updates();
        let mut confirmation_changes = self.node.confirmations();
        loop {
            tokio::select! {
                received = reader.next() => match received? {
                    Received::Frame(frame) => self.handle_frame(frame),
                    Received::Discarded(preview) => self.refuse_discarded(preview),
                    Received::Part => {}
                },
                changed = status_changes.changed() => {
                    if changed.is_err() {
                        return Ok(());
                    }
                    self.sender.send_message(Message::Status(self.node.status()));
                }
                changed = confirmation_changes.changed() => {
                    if changed.is_err() {
                        return Ok(());
                    }
                    self.send_confirmation();
                }
            }
        }
    }

    /// Sends the store's last confirmation of the configuration, if this node watches the store.
    fn send_confirmation(&self) {
        let Some(ConfirmedVersion {
            version,
            age,
            read_at,
        }) = self.node.confirmed_by_store()
        else {
            return;
        };
        let confirmation = ConfirmationMessage {
            version,
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            read_at_ms: read_at.map_or(0, |at| self.node.clock_ms(at)),
        };
        self.sender.send_message(Message::Confirmed(confirmation));
    }

    /// Refuses a call that was not read because this node has no memory for it.
    fn refuse_discarded(&self, discarded: FramePreview) {
        static LOG_RATE_LIMIT: LogRateLimit = LogRateLimit::new();
        if discarded.content != FrameContent::Call {
            return;
        }
        if let Some(left_out) = LOG_RATE_LIMIT.admit() {
            tracing::warn!(
                bytes = discarded.payload_bytes,
                left_out,
                "no memory for a call of a peer; refusing it as not run"
            );
        }
        let refusal = RefusalMessage {
            kind: ErrorKind::Overloaded,
            outcome: Outcome::NotRun,
            retry_after: Some(MEMORY_RETRY_AFTER),
            load: self.node.load(),
        };
        self.sender.send(&Frame {
            call: discarded.call,
            message: Message::Refusal(refusal),
        });
    }

    fn handle_frame(&self, frame: Frame) {
        let Self {
            node,
            sender,
            running_calls,
        } = self;
        match frame.message {
            Message::Call(call) => running_calls.start(node, sender, frame.call, call),
            Message::Cancel => running_calls.cancel(frame.call),
            Message::Ping => sender.send_message(Message::Status(node.status())),
            Message::FetchNodes => sender.send_message(Message::Nodes(node.known_nodes())),
            Message::FetchConfiguration => {
                if let Some(document) = node.configuration_document() {
                    sender.send_message(Message::Configuration(document));
                }
            }
            Message::QuotaRequest(message) => self.answer_quota_request(frame.call, message),
            Message::Crash(report) => node.record_peer_crash(report),
            Message::Quarantined(suspect) => node.merge_quarantined(suspect),
            Message::QuarantineStored(suspect) => node.merge_stored(suspect),
            Message::Cleared(digest) => node.clear_suspects(&[digest]),
            Message::BackendNotice(notice) => node.recall_backend_notice(notice),
            Message::Register(record) => node.register_peer(record, sender),
            // Only the node that accepted a link sends the other messages.
            _ => {}
        }
    }

    fn answer_quota_request(&self, call: u32, message: QuotaRequestMessage) {
        let QuotaRequestMessage {
            tenant,
            request,
            is_forwarded,
        } = message;
        match self.node.grant_quota(&tenant, request.clone()) {
            QuotaGrant::NotOwner if !is_forwarded => self.forward_request(call, tenant, request),
            grant => send_quota_grant(&self.sender, call, grant),
        }
    }

    /// Requests tokens from the owner of a quota on behalf of a node that cannot reach or does not
    /// know the owner.
    fn forward_request(&self, call: u32, tenant: Bytes, request: QuotaRequest) {
        let node = self.node.clone();
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let grant = quota::forward(&node, &tenant, request).await;
            send_quota_grant(&sender, call, grant);
        });
    }
}

fn send_quota_grant(sender: &FrameSender, call: u32, grant: QuotaGrant) {
    sender.send(&Frame {
        call,
        message: Message::QuotaGrant(grant),
    });
}
