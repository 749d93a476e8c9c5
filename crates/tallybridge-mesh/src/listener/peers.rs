//! Links that other nodes opened to this one: calls come in on them.

use std::{
    collections::HashMap,
    io,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use tallybridge_core::Refusal;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    task::AbortHandle,
    time::timeout,
};

use crate::{
    clock::BootInstant,
    http::client::set_liveness_options,
    node::{Confirmed, Node},
    protocol::{NodeRecord, QuotaAsk, QuotaGrant},
    request::{
        execute::{Answered, execute},
        quota,
    },
};
use crate::{
    link::framing::{LINK_SILENCE, next_frame, write_frames},
    protocol::{CallMessage, Frame, Message},
};

/// Time in which a node that connects must say who it is.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// Takes links until the process ends.
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
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

struct RunningCall {
    is_idempotent: bool,
    task: AbortHandle,
}

/// Calls of one link that run, by their number.
#[derive(Clone, Default)]
struct RunningCalls(Arc<Mutex<HashMap<u32, RunningCall>>>);

impl RunningCalls {
    fn lock(&self) -> MutexGuard<'_, HashMap<u32, RunningCall>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn cancel(&self, call: u32) {
        if let Some(running) = self.lock().remove(&call) {
            running.task.abort();
        }
    }

    /// The link is lost. What may run again is ended, since its entry sends it elsewhere; what may
    /// run once only goes on to its end, as its back end is at work on it.
    fn link_lost(&self) {
        for (_, running) in self.lock().drain() {
            if running.is_idempotent {
                running.task.abort();
            }
        }
    }
}

async fn serve_peer(node: Arc<Node>, stream: TcpStream) -> io::Result<()> {
    set_liveness_options(&stream, LINK_SILENCE);
    let (mut reader, writer) = stream.into_split();
    let mut buffer = BytesMut::new();
    let hello = timeout(HELLO_TIMEOUT, next_frame(&mut reader, &mut buffer)).await;
    let hello = hello.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    let Message::Hello(record) = hello.message else {
        return Err(io::ErrorKind::InvalidData.into());
    };
    let record: NodeRecord = serde_json::from_slice(&record)?;
    node.learn_records([record]);
    let (sender, frames) = mpsc::unbounded_channel();
    let writing = tokio::spawn(write_frames(writer, frames));
    send(&sender, Message::Hello(node.hello()));
    let now_ms = node.clock_ms(BootInstant::now());
    send(&sender, Message::Clock { now_ms });
    send(&sender, Message::Status(node.status()));
    send_confirmation(&node, &sender);
    for held in node.quarantine_snapshot() {
        send(&sender, Message::Quarantined(held));
    }
    let mut published = node.published();
    let mut confirmed = node.confirmations();
    let running = RunningCalls::default();
    let result = loop {
        tokio::select! {
            frame = next_frame(&mut reader, &mut buffer) => match frame {
                Ok(frame) => take_in(&node, &sender, &running, frame),
                Err(error) => break Err(error),
            },
            changed = published.changed() => {
                if changed.is_err() {
                    break Ok(());
                }
                send(&sender, Message::Status(node.status()));
            }
            changed = confirmed.changed() => {
                if changed.is_err() {
                    break Ok(());
                }
                send_confirmation(&node, &sender);
            }
        }
    };
    writing.abort();
    running.link_lost();
    result
}

fn send(sender: &mpsc::UnboundedSender<Bytes>, message: Message) {
    // Fails only when the link is lost, which its reader sees.
    let _ = sender.send(Frame::of_link(message).encode());
}

/// Passes on how lately the store confirmed the configuration to this node, if it watches the store.
fn send_confirmation(node: &Node, sender: &mpsc::UnboundedSender<Bytes>) {
    if let Some(Confirmed {
        version,
        age,
        read_at,
    }) = node.confirmed_by_store()
    {
        let age_ms = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        let read_at_ms = read_at.map_or(0, |at| node.clock_ms(at));
        let confirmed = Message::Confirmed {
            version,
            age_ms,
            read_at_ms,
        };
        send(sender, confirmed);
    }
}

fn take_in(
    node: &Arc<Node>,
    sender: &mpsc::UnboundedSender<Bytes>,
    running: &RunningCalls,
    frame: Frame,
) {
    match frame.message {
        Message::Call(call) => start_call(node, sender, running, frame.call, call),
        Message::Cancel => running.cancel(frame.call),
        Message::Ping => send(sender, Message::Status(node.status())),
        Message::FetchNodes => send(sender, Message::Nodes(node.known_nodes())),
        Message::FetchConfiguration => {
            if let Some(document) = node.configuration_document() {
                send(sender, Message::Configuration(document));
            }
        }
        Message::QuotaAsk {
            tenant,
            ask,
            is_forwarded,
        } => match node.grant_quota(&tenant, ask.clone()) {
            QuotaGrant::NotOwner if !is_forwarded => {
                forward_ask(node, sender, frame.call, tenant, ask);
            }
            grant => send_grant(sender, frame.call, grant),
        },
        Message::Crash(report) => {
            node.record_crash(report);
        }
        Message::Quarantined(held) => node.merge_quarantined(held),
        Message::Cleared(digest) => node.clear_suspects(&[digest]),
        _ => {}
    }
}

fn send_grant(sender: &mpsc::UnboundedSender<Bytes>, number: u32, grant: QuotaGrant) {
    let frame = Frame {
        call: number,
        message: Message::QuotaGrant(grant),
    };
    // Fails only when the link is lost, which its reader sees.
    let _ = sender.send(frame.encode());
}

/// Asks the home of a tenant for a node that does not reach it, or does not know yet that it is.
fn forward_ask(
    node: &Arc<Node>,
    sender: &mpsc::UnboundedSender<Bytes>,
    number: u32,
    tenant: Bytes,
    ask: QuotaAsk,
) {
    let node = node.clone();
    let sender = sender.clone();
    tokio::spawn(async move {
        let grant = quota::forward(&node, &tenant, ask).await;
        send_grant(&sender, number, grant);
    });
}

fn start_call(
    node: &Arc<Node>,
    sender: &mpsc::UnboundedSender<Bytes>,
    running: &RunningCalls,
    number: u32,
    call: CallMessage,
) {
    let is_idempotent = call.is_idempotent;
    let node = node.clone();
    let sender = sender.clone();
    let finished = running.clone();
    // Held until the task is entered below, so that one that ends at once finds its entry.
    let mut running = running.lock();
    let task = tokio::spawn(async move {
        let executed = execute(&node, call).await;
        finished.lock().remove(&number);
        let frame = Frame {
            call: number,
            message: reply(&node, executed),
        };
        let _ = sender.send(frame.encode());
    });
    let task = task.abort_handle();
    running.insert(
        number,
        RunningCall {
            is_idempotent,
            task,
        },
    );
}

fn reply(node: &Node, executed: Result<Answered, Refusal>) -> Message {
    let load = node.load();
    match executed {
        Ok(Answered {
            answer,
            made_calls,
            times,
        }) => Message::Answer {
            status: answer.status,
            made_calls,
            times,
            load,
            head: answer.headers.into(),
            body: answer.body,
        },
        Err(refusal) => Message::Refusal {
            kind: refusal.kind as u8,
            outcome: refusal.outcome as u8,
            retry_after_ms: refusal
                .retry_after
                .map_or(0, |after| after.as_millis() as u32),
            load,
        },
    }
}
