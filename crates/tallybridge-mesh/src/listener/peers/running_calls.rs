//! Calls that run here for one link, each in a task of its own.

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

/// Calls of one link that run, by their number.
#[derive(Clone, Default)]
pub(super) struct RunningCalls(Arc<Mutex<HashMap<u32, RunningCall>>>);

struct RunningCall {
    is_idempotent: bool,
    task: AbortHandle,
}

impl RunningCalls {
    /// Starts a call; how it ends is sent to `sender`.
    pub fn start(&self, node: &Arc<Node>, sender: &FrameSender, number: u32, call: CallMessage) {
        let is_idempotent = call.is_idempotent;
        let node = node.clone();
        let sender = sender.clone();
        let finished = self.clone();
        // Locked until the task is entered below, so that one that ends at once finds its entry.
        let mut running = self.lock();
        let task = tokio::spawn(async move {
            let executed = execute(&node, call).await;
            finished.lock().remove(&number);
            sender.send(&Frame {
                call: number,
                message: reply(&node, executed),
            });
        });
        let entered = RunningCall {
            is_idempotent,
            task: task.abort_handle(),
        };
        running.insert(number, entered);
    }

    /// Nobody waits for a call any more.
    pub fn cancel(&self, number: u32) {
        if let Some(running) = self.lock().remove(&number) {
            running.task.abort();
        }
    }

    /// The link is lost. Idempotent calls are aborted, since their entry retries them elsewhere; the
    /// others go on, because their back end is at work on them and nobody may run them again.
    pub fn link_lost(&self) {
        for (_, running) in self.lock().drain() {
            if running.is_idempotent {
                running.task.abort();
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u32, RunningCall>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn reply(node: &Node, executed: Result<ExecutedCall, Refusal>) -> Message {
    let load = node.load();
    match executed {
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
