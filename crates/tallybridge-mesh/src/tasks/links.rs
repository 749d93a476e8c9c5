//! Opens links to other nodes, reconnects them and handles the frames that arrive on them.
//!
//! The table of peers (`tables::peers`) selects the links, and one task maintains each of them. The
//! accepting side of a link is `listener::peers`.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use bytes::BytesMut;
use rand::Rng;
use tallybridge_core::{ErrorKind, Outcome};
use tokio::{
    io::AsyncWriteExt,
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::mpsc,
    time::{Instant, sleep, timeout},
};

use crate::{
    clock::BootInstant,
    http::connect,
    link::{
        Link, Reply,
        framing::{FrameReader, QueuedFrame, Received, read_hello, write_frames},
        liveness::UNACKNOWLEDGED_TIMEOUT,
    },
    log::rate_limit::LogRateLimit,
    node::Node,
    protocol::{
        ConfirmationMessage, Frame, FramePreview, Load, Message, NodeRecord, RefusalMessage,
    },
    tables::{ConfirmedVersion, LinkRequest},
};

/// Timeout of the connection attempt and, separately, of the handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// First wait before a link is opened again. The wait doubles with each failed attempt.
const MIN_REOPEN_WAIT: Duration = Duration::from_millis(100);
const MAX_REOPEN_WAIT: Duration = Duration::from_millis(1000);
/// Largest random change of a wait, as a fraction of it. Jitter prevents nodes from reconnecting to
/// the same peer at the same time.
const REOPEN_JITTER: f64 = 0.3;

const REASON_UNRESPONSIVE: &str = "peer is unresponsive";
const REASON_NOT_NEEDED: &str = "link is no longer needed";

/// Starts a task for each link that the table of peers requests. Never returns.
pub async fn open_links(node: Arc<Node>) {
    loop {
        for request in node.next_link_requests().await {
            tokio::spawn(maintain_link(node.clone(), request));
        }
    }
}

/// Opens a link and reopens it until the table of peers no longer requests it.
async fn maintain_link(node: Arc<Node>, request: LinkRequest) {
    let address = request.address;
    let mut wait = MIN_REOPEN_WAIT;
    loop {
        match open_link(&node, address).await {
            Ok(opened) => {
                wait = MIN_REOPEN_WAIT;
                let record = &opened.record;
                tracing::info!(peer = record.node, service = record.service, "link opened");
                let reason = run_link(&node, request, opened).await;
                tracing::info!(%address, reason, "link closed");
            }
            Err(error) => {
                tracing::debug!(%address, %error, "cannot open the link");
                node.peer_unreachable(request);
            }
        }
        if node.forget_peer(request) {
            return;
        }
        let jitter_factor = rand::rng().random_range(1.0 - REOPEN_JITTER..1.0 + REOPEN_JITTER);
        sleep(wait.mul_f64(jitter_factor)).await;
        wait = (wait * 2).min(MAX_REOPEN_WAIT);
    }
}

/// An open link, whose handshake is complete.
struct OpenedLink {
    link: Arc<Link>,
    /// Record that the peer sent in its hello.
    record: NodeRecord,
    hello_sent_at: BootInstant,
    reader: OwnedReadHalf,
    buffer: BytesMut,
    writer: OwnedWriteHalf,
    /// Queue of frames to write.
    frames: mpsc::UnboundedReceiver<QueuedFrame>,
}

async fn open_link(node: &Node, address: SocketAddr) -> io::Result<OpenedLink> {
    let stream = connect(address, CONNECT_TIMEOUT, UNACKNOWLEDGED_TIMEOUT).await?;
    timeout(CONNECT_TIMEOUT, handshake(node, stream))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}

async fn handshake(node: &Node, stream: TcpStream) -> io::Result<OpenedLink> {
    let (mut reader, mut writer) = stream.into_split();
    let hello = Frame::without_call(Message::Hello(node.hello()));
    let hello_sent_at = BootInstant::now();
    writer.write_all(&hello.encode()).await?;
    let mut buffer = BytesMut::new();
    let record = read_hello(&mut reader, &mut buffer).await?;
    let (sender, frames) = mpsc::unbounded_channel();
    Ok(OpenedLink {
        link: Arc::new(Link::new(&record.node, sender)),
        record,
        hello_sent_at,
        reader,
        buffer,
        writer,
        frames,
    })
}

/// Runs a link until it closes, and returns the reason.
async fn run_link(node: &Arc<Node>, request: LinkRequest, opened: OpenedLink) -> String {
    let OpenedLink {
        link,
        record,
        hello_sent_at,
        reader,
        buffer,
        writer,
        frames,
    } = opened;
    // Differs from the requested address only if the peer's settings are wrong.
    let address = record.address;
    // The executor must know before the first call what its back end announced to an earlier process.
    if record.keeps_notices
        && let Some(notice) = node.notice_for(address)
    {
        link.send(&Frame::without_call(Message::BackendNotice(notice)));
    }
    if !node.peer_connected(request, record, link.clone()) {
        return REASON_NOT_NEEDED.to_owned();
    }
    send_initial_messages(node, &link);
    let write_task = tokio::spawn(write_frames(writer, frames));
    let mut reader = FrameReader::new(reader, buffer, node.memory.clone());
    let read_loop = async {
        loop {
            let received = match reader.next().await {
                Ok(received) => received,
                Err(error) => return error.to_string(),
            };
            link.record_frame(Instant::now());
            match received {
                Received::Frame(frame) => {
                    if let Message::Clock(clock) = frame.message {
                        link.set_peer_clock(hello_sent_at, clock.now_ms);
                    } else {
                        handle_frame(node, address, &link, frame);
                    }
                }
                Received::Discarded(preview) => fail_discarded_answer(&link, preview),
                Received::Part => {}
            }
        }
    };
    let reason = tokio::select! {
        reason = read_loop => reason,
        () = link.wait_until_unresponsive() => REASON_UNRESPONSIVE.to_owned(),
        () = link.wait_until_retired() => REASON_NOT_NEEDED.to_owned(),
    };
    write_task.abort();
    link.close();
    node.peer_disconnected(address, &link);
    reason
}

/// Sends the quarantined requests to a newly linked peer, and requests its node list if needed.
fn send_initial_messages(node: &Node, link: &Link) {
    if node.should_request_nodes() {
        link.send(&Frame::without_call(Message::FetchNodes));
    }
    for message in node.quarantine_messages() {
        link.send(&Frame::without_call(message));
    }
}

/// Fails the call whose answer has no memory. The call has run.
fn fail_discarded_answer(link: &Link, discarded: FramePreview) {
    static LOG_RATE_LIMIT: LogRateLimit = LogRateLimit::new();
    if let Some(left_out) = LOG_RATE_LIMIT.admit() {
        tracing::warn!(
            peer = link.peer(),
            bytes = discarded.payload_bytes,
            left_out,
            "no memory for an answer; failing its call, whose outcome is unknown"
        );
    }
    let refusal = RefusalMessage {
        kind: ErrorKind::BackendFailed,
        outcome: Outcome::Unknown,
        retry_after: None,
        load: Load::default(),
    };
    link.complete(discarded.call, Reply::Refusal(refusal));
}

fn handle_frame(node: &Node, address: SocketAddr, link: &Link, frame: Frame) {
    match frame.message {
        Message::Answer(answer) => {
            node.peer_load(address, answer.load);
            link.complete(frame.call, Reply::Answer(answer));
        }
        Message::Refusal(refusal) => {
            node.peer_load(address, refusal.load);
            link.complete(frame.call, Reply::Refusal(refusal));
        }
        Message::QuotaGrant(grant) => link.complete(frame.call, Reply::Quota(grant)),
        Message::Status(status) => node.peer_status(address, status),
        Message::Nodes(nodes) => node.learn_nodes(&nodes),
        Message::Configuration(document) => {
            // Logs a document that cannot be decoded and keeps the previous one.
            let _ = node.offer_configuration(&document);
        }
        Message::Confirmed(confirmation) => {
            node.peer_confirmed(address, to_local_confirmation(link, confirmation));
        }
        Message::Quarantined(request) => node.merge_quarantined(request),
        Message::QuarantineStored(request) => node.merge_stored(request),
        Message::BackendNotice(notice) => node.peer_backend_notice(address, notice),
        Message::Registered => node.registered_by(link),
        // The other kinds are sent only to the accepting side of a link.
        _ => {}
    }
}

/// Converts a confirmation, with its read time translated to the local clock.
fn to_local_confirmation(link: &Link, confirmation: ConfirmationMessage) -> ConfirmedVersion {
    let read_at_ms = Some(confirmation.read_at_ms).filter(|peer_ms| *peer_ms > 0);
    ConfirmedVersion {
        version: confirmation.version,
        age: Duration::from_millis(confirmation.age_ms.into()),
        read_at: read_at_ms.and_then(|peer_ms| link.to_local_time(peer_ms)),
    }
}
