//! Links that other nodes opened to this one: calls come in on them.
//!
//! Accepts connections, answers the hello, and handles each frame. The calls that run for a link
//! are in `running_calls`. The other end is `tasks::links`.

mod running_calls;

use std::{io, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use tokio::{
    net::{TcpListener, TcpStream, tcp::OwnedReadHalf},
    sync::mpsc,
    time::timeout,
};

use self::running_calls::RunningCalls;
use crate::{
    clock::BootInstant,
    http::set_liveness_options,
    link::{
        framing::{FrameSender, next_frame, read_hello, write_frames},
        liveness::UNACKNOWLEDGED_TIMEOUT,
    },
    node::Node,
    protocol::{
        ClockMessage, ConfirmationMessage, Frame, Message, QuotaAsk, QuotaAskMessage, QuotaGrant,
    },
    request::quota,
    tables::Confirmed,
};

/// Time in which a node that connects must send its hello: twice what it waits for the answer.
/// Origin not recorded.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// Wait after an accept that failed, as when descriptors have run out. Origin not recorded.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Accepts links until the process ends.
pub async fn accept_peers(node: Arc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let node = node.clone();
                tokio::spawn(async move {
                    if let Err(error) = serve_peer(node, stream).await {
                        tracing::debug!(%error, "peer's link ended");
                    }
                });
            }
            Err(error) => {
                tracing::warn!(%error, "a peer can't be accepted");
                tokio::time::sleep(ACCEPT_RETRY).await;
            }
        }
    }
}

async fn serve_peer(node: Arc<Node>, stream: TcpStream) -> io::Result<()> {
    set_liveness_options(&stream, UNACKNOWLEDGED_TIMEOUT);
    let (mut reader, writer) = stream.into_split();
    let mut buffer = BytesMut::new();
    let hello = timeout(HELLO_TIMEOUT, read_hello(&mut reader, &mut buffer)).await;
    let record = hello.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    node.learn_records([record]);
    let (sender, frames) = mpsc::unbounded_channel();
    let writing = tokio::spawn(write_frames(writer, frames));
    let link = AcceptedLink::new(node, FrameSender::new(sender));
    link.greet();
    let result = link.run(&mut reader, &mut buffer).await;
    writing.abort();
    link.running.link_lost();
    result
}

/// A link that another node opened, after its hello.
struct AcceptedLink {
    node: Arc<Node>,
    sender: FrameSender,
    running: RunningCalls,
}

impl AcceptedLink {
    fn new(node: Arc<Node>, sender: FrameSender) -> Self {
        Self {
            node,
            sender,
            running: RunningCalls::default(),
        }
    }

    /// Answers the hello, and sends what a node that links to this one should know.
    fn greet(&self) {
        let Self { node, sender, .. } = self;
        sender.send_message(Message::Hello(node.hello()));
        let now_ms = node.clock_ms(BootInstant::now());
        sender.send_message(Message::Clock(ClockMessage { now_ms }));
        sender.send_message(Message::Status(node.status()));
        self.send_confirmation();
        for suspect in node.quarantine_snapshot() {
            sender.send_message(Message::Quarantined(suspect));
        }
    }

    /// Handles what comes, and sends the status and the store's confirmations when they change.
    async fn run(&self, reader: &mut OwnedReadHalf, buffer: &mut BytesMut) -> io::Result<()> {
        let mut published = self.node.status_updates();
        let mut confirmed = self.node.confirmations();
        loop {
            tokio::select! {
                frame = next_frame(reader, buffer) => self.handle_frame(frame?),
                changed = published.changed() => {
                    if changed.is_err() {
                        return Ok(());
                    }
                    self.sender.send_message(Message::Status(self.node.status()));
                }
                changed = confirmed.changed() => {
                    if changed.is_err() {
                        return Ok(());
                    }
                    self.send_confirmation();
                }
            }
        }
    }

    /// Passes on when the store confirmed the configuration to this node, if it watches the store.
    fn send_confirmation(&self) {
        let Some(Confirmed {
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

    fn handle_frame(&self, frame: Frame) {
        let Self {
            node,
            sender,
            running,
        } = self;
        match frame.message {
            Message::Call(call) => running.start(node, sender, frame.call, call),
            Message::Cancel => running.cancel(frame.call),
            Message::Ping => sender.send_message(Message::Status(node.status())),
            Message::FetchNodes => sender.send_message(Message::Nodes(node.known_nodes())),
            Message::FetchConfiguration => {
                if let Some(document) = node.configuration_document() {
                    sender.send_message(Message::Configuration(document));
                }
            }
            Message::QuotaAsk(asked) => self.grant(frame.call, asked),
            Message::Crash(report) => {
                // What the store must keep of it is written by the node whose back end crashed.
                node.record_crash(report);
            }
            Message::Quarantined(suspect) => node.merge_quarantined(suspect),
            Message::Cleared(digest) => node.clear_suspects(&[digest]),
            // The other kinds only go from the node that accepted a link to the one that opened it.
            _ => {}
        }
    }

    fn grant(&self, number: u32, asked: QuotaAskMessage) {
        let QuotaAskMessage {
            tenant,
            ask,
            is_forwarded,
        } = asked;
        match self.node.grant_quota(&tenant, ask.clone()) {
            QuotaGrant::NotOwner if !is_forwarded => self.forward_ask(number, tenant, ask),
            grant => send_grant(&self.sender, number, grant),
        }
    }

    /// Asks the owner of a quota for a node that does not reach it, or does not know yet that it is.
    fn forward_ask(&self, number: u32, tenant: Bytes, ask: QuotaAsk) {
        let node = self.node.clone();
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let grant = quota::forward(&node, &tenant, ask).await;
            send_grant(&sender, number, grant);
        });
    }
}

fn send_grant(sender: &FrameSender, call: u32, grant: QuotaGrant) {
    sender.send(&Frame {
        call,
        message: Message::QuotaGrant(grant),
    });
}
