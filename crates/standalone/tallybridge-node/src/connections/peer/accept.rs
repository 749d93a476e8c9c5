//! Links that peers open to this node: their calls run here.

use std::{collections::HashMap, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::StreamExt;
use tallybridge_config::{Revision, RevisionRecord};
use tallybridge_core::{ErrorKind, NodeId, Outcome, Refusal};
use tallybridge_wire::{
    CallHead, ConfigurationFetch, ConfigurationRecords, ExplainFetch, Frame, FrameCodec, Hello,
    Message, PartitionMapFetch, PartitionMapRecords, StreamId,
};
use tokio::sync::mpsc;
use tokio_util::{codec::FramedRead, sync::CancellationToken};

use super::{
    body::{BodyAssembly, BodyError, send_body},
    call::answer_head,
    introduction::Peer,
    network::{PeerListener, PeerStream},
    update::update_message,
    writer::{WRITE_QUEUE, write_frames},
};
use crate::{
    actor::{
        claims::{ClaimMessage, GetMapRecords},
        configuration::{ApplyRecords, UpdateAfter},
        executions::Closing,
        fleet::Leave,
    },
    connections::fleet,
    context::NodeContext,
    path::{Executed, execute},
};

/// Time to wait after a connection could not be accepted.
const ACCEPT_RETRY: Duration = Duration::from_millis(100);

/// Accepts peers until the node stops.
pub async fn accept_peers(context: NodeContext, listener: Arc<dyn PeerListener>, hello: Hello) {
    loop {
        let accepted = tokio::select! {
            biased;
            () = context.shutdown.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok(stream) => {
                tokio::spawn(serve_peer(context.clone(), stream, hello.clone()));
            }
            Err(error) => {
                tracing::warn!(%error, "a peer's connection was not accepted");
                // The cause, such as a want of file descriptors, lasts; trying at once would spin.
                tokio::time::sleep(ACCEPT_RETRY).await;
            }
        }
    }
}

/// A call whose body is still arriving.
struct PartialCall {
    head: CallHead,
    assembly: BodyAssembly,
}

/// One connection from a peer.
struct PeerConnection {
    context: NodeContext,
    /// Who is at the other end, once it has introduced itself.
    peer: Option<NodeId>,
    sender: mpsc::Sender<Frame>,
    partial: HashMap<StreamId, PartialCall>,
    running: HashMap<StreamId, CancellationToken>,
    /// Streams whose call has ended.
    ended: mpsc::UnboundedReceiver<StreamId>,
    end: mpsc::UnboundedSender<StreamId>,
}

/// Serves one connection from a peer until it closes. What runs for it then is cancelled: nobody
/// is left to answer.
pub async fn serve_peer(context: NodeContext, stream: Box<dyn PeerStream>, hello: Hello) {
    let (read_half, write_half) = tokio::io::split(stream);
    let (sender, frames) = mpsc::channel(WRITE_QUEUE);
    let writer = tokio::spawn(write_frames(write_half, frames));
    let introduction = Frame::new(StreamId::CONNECTION, Message::Hello(hello));
    if sender.send(introduction).await.is_err() {
        return;
    }
    let (end, ended) = mpsc::unbounded_channel();
    let mut connection = PeerConnection {
        context,
        peer: None,
        sender,
        partial: HashMap::new(),
        running: HashMap::new(),
        ended,
        end,
    };
    connection
        .read(FramedRead::new(read_half, FrameCodec))
        .await;
    for token in connection.running.values() {
        token.cancel();
    }
    drop(connection);
    // The writer ends once the last running call has dropped its sender.
    let _ = writer.await;
}

impl PeerConnection {
    async fn read<R>(&mut self, mut reader: FramedRead<R, FrameCodec>)
    where
        R: tokio::io::AsyncRead + Unpin,
    {
        let shutdown = self.context.shutdown.clone();
        loop {
            tokio::select! {
                biased;
                () = shutdown.cancelled() => return,
                Some(stream) = self.ended.recv() => {
                    self.running.remove(&stream);
                }
                frame = reader.next() => match frame {
                    Some(Ok(frame)) => self.take(frame).await,
                    Some(Err(error)) => {
                        tracing::warn!(%error, "a peer's connection is damaged and closes");
                        return;
                    }
                    None => return,
                },
            }
        }
    }

    async fn take(&mut self, frame: Frame) {
        let stream = frame.stream;
        match frame.message {
            Ok(Message::Hello(hello)) => self.introduce(&hello),
            Ok(Message::LeaveNotice) => self.leave().await,
            Ok(Message::Call(head)) => self.start(stream, head),
            Ok(Message::Chunk(chunk)) => self.add(stream, &chunk),
            Ok(Message::Cancel) => self.cancel(stream),
            Ok(Message::ConfigurationFetch(fetch)) => self.send_update(stream, &fetch).await,
            Ok(Message::ExplainFetch(fetch)) => self.send_explanation(stream, &fetch).await,
            Ok(Message::StatusFetch) => self.send_status(stream).await,
            Ok(Message::ConfigurationRecords(records)) => self.apply_records(&records).await,
            Ok(Message::PartitionMapFetch(fetch)) => self.send_map(stream, fetch).await,
            Ok(
                message @ (Message::Claim(_)
                | Message::ClaimQuery(_)
                | Message::ClaimCopy(_)
                | Message::ClaimRelease(_)
                | Message::ClaimFinish(_)),
            ) => self.vote(stream, message).await,
            Ok(other) => {
                tracing::warn!(
                    kind = other.kind(),
                    "a peer sent a message that has no place here"
                );
            }
            Err(error) => {
                tracing::warn!(%error, stream = stream.0, "a peer's message can't be read");
                self.partial.remove(&stream);
            }
        }
    }

    fn introduce(&mut self, hello: &Hello) {
        self.peer = Peer::of_hello(hello).map(|peer| peer.node);
    }

    /// A peer has seen in the machine list that this node's machine is leaving.
    async fn leave(&self) {
        // Fails only when the node is stopping anyway.
        let _ = self.context.ask(Leave).await;
    }

    fn start(&mut self, stream: StreamId, head: CallHead) {
        let assembly = BodyAssembly::new(head.body_length, head.body_checksum);
        self.partial.insert(stream, PartialCall { head, assembly });
        self.run_if_whole(stream);
    }

    fn add(&mut self, stream: StreamId, chunk: &tallybridge_wire::BodyChunk) {
        let Some(call) = self.partial.get_mut(&stream) else {
            return;
        };
        if let Err(error) = call.assembly.push(chunk) {
            self.partial.remove(&stream);
            self.refuse_damaged(stream, error);
            return;
        }
        self.run_if_whole(stream);
    }

    fn run_if_whole(&mut self, stream: StreamId) {
        let whole = self
            .partial
            .get(&stream)
            .is_some_and(|call| call.assembly.is_whole());
        if !whole {
            return;
        }
        let Some(call) = self.partial.remove(&stream) else {
            return;
        };
        match call.assembly.finish() {
            Ok(body) => self.run(stream, call.head, body),
            Err(error) => self.refuse_damaged(stream, error),
        }
    }

    /// Answers a call whose body did not arrive whole, so that its entry node can try again at once.
    fn refuse_damaged(&self, stream: StreamId, error: BodyError) {
        tracing::warn!(%error, "a call's body was damaged on its way");
        let refusal = Refusal::new(ErrorKind::PeerLost, error.to_string());
        let executed = Executed {
            result: Err(refusal.with_outcome(Outcome::NotRun)),
            reached_backend: false,
            outcome_settled: false,
            closing: Closing::default(),
        };
        let sender = self.sender.clone();
        tokio::spawn(async move { send_answer(&sender, stream, &executed).await });
    }

    fn run(&mut self, stream: StreamId, head: CallHead, body: Bytes) {
        let cancelled = CancellationToken::new();
        self.running.insert(stream, cancelled.clone());
        let context = self.context.clone();
        let sender = self.sender.clone();
        let end = self.end.clone();
        let tracker = self.context.calls.clone();
        tracker.spawn(async move {
            let executed = execute::serve(&context, head, body, cancelled).await;
            send_answer(&sender, stream, &executed).await;
            // The connection may be gone; then nobody keeps count of its streams.
            let _ = end.send(stream);
        });
    }

    fn cancel(&mut self, stream: StreamId) {
        self.partial.remove(&stream);
        if let Some(token) = self.running.remove(&stream) {
            token.cancel();
        }
    }

    async fn send_update(&self, stream: StreamId, fetch: &ConfigurationFetch) {
        let Ok(update) = self.context.ask(UpdateAfter(Revision(fetch.after))).await else {
            return;
        };
        self.reply(stream, update_message(&update)).await;
    }

    async fn send_explanation(&self, stream: StreamId, fetch: &ExplainFetch) {
        let request_id = fetch.request_id.to_string_lossy();
        if let Ok(decisions) = fleet::explain_here(&self.context, request_id).await {
            let message = Message::ExplainRecords(fleet::report(&decisions));
            self.reply(stream, message).await;
        }
    }

    async fn send_status(&self, stream: StreamId) {
        if let Ok(status) = fleet::status_here(&self.context).await {
            let message = Message::StatusRecords(fleet::report(&status));
            self.reply(stream, message).await;
        }
    }

    async fn reply(&self, stream: StreamId, message: Message) {
        // A closed connection needs no answer.
        let _ = self.sender.send(Frame::new(stream, message)).await;
    }

    /// Hands a message about claims to those that this node holds, and sends what they answer.
    async fn vote(&self, stream: StreamId, message: Message) {
        let Some(source) = self.peer else {
            tracing::warn!("a peer spoke of claims before it introduced itself");
            return;
        };
        let answer = self.context.ask(ClaimMessage { source, message }).await;
        if let Ok(Some(answer)) = answer {
            // A closed connection needs no answer.
            let _ = self.sender.send(Frame::new(stream, answer)).await;
        }
    }

    async fn send_map(&self, stream: StreamId, fetch: PartitionMapFetch) {
        let reports_wanted = fetch.reports_wanted != 0;
        let records = self.context.ask(GetMapRecords { reports_wanted }).await;
        let json = records
            .ok()
            .and_then(|records| serde_json::to_vec(&records).ok())
            .unwrap_or_default();
        let message = Message::PartitionMapRecords(PartitionMapRecords::new(json));
        // A closed connection needs no answer.
        let _ = self.sender.send(Frame::new(stream, message)).await;
    }

    async fn apply_records(&self, records: &ConfigurationRecords) {
        match serde_json::from_slice::<Vec<RevisionRecord>>(&records.json) {
            Ok(records) => {
                // Fails only when the node is stopping.
                let _ = self.context.ask(ApplyRecords(records)).await;
            }
            Err(error) => tracing::warn!(%error, "a peer's configuration records can't be read"),
        }
    }
}

/// Sends an answer; when the connection is gone the entry node has found that out already.
async fn send_answer(sender: &mpsc::Sender<Frame>, stream: StreamId, executed: &Executed) {
    let head = Message::Answer(answer_head(executed));
    if sender.send(Frame::new(stream, head)).await.is_err() {
        return;
    }
    if let Ok(answer) = &executed.result {
        let _ = send_body(sender, stream, &answer.body).await;
    }
}
