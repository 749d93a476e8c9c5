//! Opens links to other nodes, keeps them open and handles what arrives on them.
//!
//! The table of peers decides which links there should be (`tables::peers`); each gets a task here.
//! The other end of a link is `listener::peers`.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use rand::Rng;
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
        framing::{next_frame, read_hello, write_frames},
        liveness::UNACKNOWLEDGED_TIMEOUT,
    },
    node::Node,
    protocol::{ConfirmationMessage, Frame, Message, NodeRecord},
    tables::{Confirmed, LinkRequest},
};

/// Time in which a connection must come up, and again time in which the other node must answer the
/// hello. Origin not recorded.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);
/// Wait after the first failed attempt to open a link; it doubles with each. Origin not recorded.
const REOPEN_MIN: Duration = Duration::from_millis(100);
/// Longest wait between attempts to open a link. Origin not recorded.
const REOPEN_MAX: Duration = Duration::from_millis(1000);
/// Share by which each of these waits is shortened or lengthened at random, so that the nodes that
/// lost the same peer don't return to it at once. Origin not recorded.
const REOPEN_JITTER: f64 = 0.3;

/// Reason for the close of a link whose other node was silent for too long.
const UNRESPONSIVE: &str = "no sign of life";
/// Reason for the close of a link that is not wanted.
const NOT_NEEDED: &str = "not needed any more";

/// Opens the links that the node's table of peers wants, and keeps each in a task of its own.
pub async fn open_links(node: Arc<Node>) {
    loop {
        for request in node.next_link_requests().await {
            tokio::spawn(keep_link(node.clone(), request));
        }
    }
}

/// Keeps a link to a node for as long as that node is one of those that are linked to.
async fn keep_link(node: Arc<Node>, request: LinkRequest) {
    let address = request.address;
    let mut wait = REOPEN_MIN;
    loop {
        match open(&node, address).await {
            Ok(opened) => {
                wait = REOPEN_MIN;
                let record = &opened.record;
                tracing::info!(peer = record.node, service = record.service, "link opened");
                let reason = run(&node, request, opened).await;
                tracing::info!(%address, reason, "link lost");
            }
            Err(error) => {
                tracing::debug!(%address, %error, "link not opened");
                node.peer_unreachable(request);
            }
        }
        if node.forget_peer(request) {
            return;
        }
        let jitter = rand::rng().random_range(1.0 - REOPEN_JITTER..1.0 + REOPEN_JITTER);
        sleep(wait.mul_f64(jitter)).await;
        wait = (wait * 2).min(REOPEN_MAX);
    }
}

/// A link after its handshake.
struct OpenedLink {
    link: Arc<Link>,
    /// What the other node said of itself.
    record: NodeRecord,
    /// When this node sent its hello.
    hello_sent_at: BootInstant,
    reader: OwnedReadHalf,
    buffer: BytesMut,
    writer: OwnedWriteHalf,
    /// Frames that wait to be written.
    frames: mpsc::UnboundedReceiver<Bytes>,
}

async fn open(node: &Node, address: SocketAddr) -> io::Result<OpenedLink> {
    let stream = connect(address, OPEN_TIMEOUT, UNACKNOWLEDGED_TIMEOUT).await?;
    timeout(OPEN_TIMEOUT, shake_hands(node, stream))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}

async fn shake_hands(node: &Node, stream: TcpStream) -> io::Result<OpenedLink> {
    let (mut reader, mut writer) = stream.into_split();
    let hello = Frame::of_link(Message::Hello(node.hello()));
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

/// Runs a link until it is lost; gives the reason.
async fn run(node: &Arc<Node>, request: LinkRequest, opened: OpenedLink) -> String {
    let OpenedLink {
        link,
        record,
        hello_sent_at,
        mut reader,
        mut buffer,
        writer,
        frames,
    } = opened;
    // Other than the address that was dialled only by a mistake in the other node's settings.
    let address = record.address;
    if !node.peer_connected(request, record, link.clone()) {
        return NOT_NEEDED.to_owned();
    }
    greet(node, &link);
    let writing = tokio::spawn(write_frames(writer, frames));
    let reading = async {
        loop {
            match next_frame(&mut reader, &mut buffer).await {
                Ok(frame) => {
                    link.received(Instant::now());
                    if let Message::Clock(clock) = frame.message {
                        link.set_peer_clock(hello_sent_at, clock.now_ms);
                    } else {
                        handle_frame(node, address, &link, frame);
                    }
                }
                Err(error) => return error.to_string(),
            }
        }
    };
    let reason = tokio::select! {
        reason = reading => reason,
        () = link.unresponsive() => UNRESPONSIVE.to_owned(),
        () = link.retired() => NOT_NEEDED.to_owned(),
    };
    writing.abort();
    link.close();
    node.peer_disconnected(address, &link);
    reason
}

/// Sends what a node that was linked to anew should know, and asks for what this one wants to know.
fn greet(node: &Node, link: &Link) {
    if node.should_request_nodes() {
        link.send(&Frame::of_link(Message::FetchNodes));
    }
    for suspect in node.quarantine_snapshot() {
        link.send(&Frame::of_link(Message::Quarantined(suspect)));
    }
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
            // One that can't be read is logged there, and the last one stays.
            let _ = node.offer_configuration(&document);
        }
        Message::Confirmed(confirmation) => {
            node.peer_confirmed(address, confirmed(link, confirmation));
        }
        Message::Quarantined(suspect) => node.merge_quarantined(suspect),
        // The other kinds only go from the node that opened a link to the one that accepted it.
        _ => {}
    }
}

/// A confirmation, with the time on the other node's clock translated into one here.
fn confirmed(link: &Link, confirmation: ConfirmationMessage) -> Confirmed {
    let read_at_ms = Some(confirmation.read_at_ms).filter(|milliseconds| *milliseconds > 0);
    Confirmed {
        version: confirmation.version,
        age: Duration::from_millis(confirmation.age_ms.into()),
        read_at: read_at_ms.and_then(|milliseconds| link.to_local_time(milliseconds)),
    }
}
