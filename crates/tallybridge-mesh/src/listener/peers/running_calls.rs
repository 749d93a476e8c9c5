//! Runs the calls of one link, each in its own task, and aborts them on request.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tallybridge_core::Refusal;
use tokio::task::AbortHandle;

use crate::{
    link::framing::FrameSender,
    node::Node,
    protocol::{AnswerMessage, CallMessage, Frame, Message, RefusalMessage},
    request::execute::{ExecutedCall, execute},
};

/// The running calls of one link, by call number.
#[derive(Clone)]
pub(super) struct RunningCalls {
    calls: Arc<Mutex<HashMap<u32, RunningCall>>>,
    /// Whether the peer keeps what the back end announces in its answers.
    keeps_notices: bool,
}

struct RunningCall {
    is_idempotent: bool,
    task: AbortHandle,
}

impl RunningCalls {
    pub fn new(keeps_notices: bool) -> Self {
        Self {
            calls: Arc::default(),
            keeps_notices,
        }
    }

    /// Starts a call. Sends the answer or refusal to `sender`.
    pub fn start(
        &self,
        node: &Arc<Node>,
        sender: &FrameSender,
        call_number: u32,
        call: CallMessage,
    ) {
        let is_idempotent = call.is_idempotent;
        let node = node.clone();
        let sender = sender.clone();
        let running_calls = self.clone();
        let in_flight = node.track_peer_call();
        // Holds the lock until the entry exists: a task that ends at once must find it to remove it.
        let mut calls = self.lock();
        let task = tokio::spawn(async move {
            let result = execute(&node, call).await;
            running_calls.lock().remove(&call_number);
            if running_calls.keeps_notices
                && let Some(notice) = node.backend_notice()
            {
                sender.send_message(Message::BackendNotice(notice));
            }
            let frame = Frame {
                call: call_number,
                message: reply(&node, result),
            };
            sender.send_tracked(&frame, in_flight);
        });
        let running_call = RunningCall {
            is_idempotent,
            task: task.abort_handle(),
        };
        calls.insert(call_number, running_call);
    }

    /// Aborts a call whose caller no longer waits for the answer.
    pub fn cancel(&self, call_number: u32) {
        if let Some(call) = self.lock().remove(&call_number) {
            call.task.abort();
        }
    }

    /// Aborts the idempotent calls of a closed link, since their entry retries them elsewhere. Lets
    /// the other calls finish, since no other back end may run them.
    pub fn abort_idempotent(&self) {
        for (_, call) in self.lock().drain() {
            if call.is_idempotent {
                call.task.abort();
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u32, RunningCall>> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn reply(node: &Node, result: Result<ExecutedCall, Refusal>) -> Message {
    let load = node.load();
    match result {
        Ok(ExecutedCall {
            answer,
            made_calls,
            times,
        }) => Message::Answer(AnswerMessage {
            status: answer.status,
            made_calls,
            times,
            load,
            head: answer.headers.into(),
            body: answer.body,
        }),
        Err(refusal) => Message::Refusal(RefusalMessage {
            kind: refusal.kind,
            outcome: refusal.outcome,
            retry_after: refusal.retry_after,
            load,
        }),
    }
}
