//! Calls that wait for their reply on one link, by their number.

use std::collections::HashMap;

use tokio::sync::oneshot;

use super::{LinkError, Reply};

/// What ends a call: its reply, or why there is none.
pub(super) type CallResult = Result<Reply, LinkError>;

#[derive(Debug)]
pub(super) struct WaitingCalls {
    next_number: u32,
    calls: HashMap<u32, WaitingCall>,
    is_closed: bool,
}

#[derive(Debug)]
struct WaitingCall {
    is_idempotent: bool,
    reply: oneshot::Sender<CallResult>,
}

impl WaitingCalls {
    pub fn new() -> Self {
        Self {
            next_number: 1,
            calls: HashMap::new(),
            is_closed: false,
        }
    }

    /// Numbers a call, whose end goes to `reply`.
    ///
    /// # Errors
    ///
    /// [`LinkError::NotSent`] when the link is closed.
    pub fn add(
        &mut self,
        is_idempotent: bool,
        reply: oneshot::Sender<CallResult>,
    ) -> Result<u32, LinkError> {
        if self.is_closed {
            return Err(LinkError::NotSent);
        }
        let number = self.next_number;
        // 0 is the number of messages that belong to no call.
        self.next_number = self.next_number.wrapping_add(1).max(1);
        let call = WaitingCall {
            is_idempotent,
            reply,
        };
        self.calls.insert(number, call);
        Ok(number)
    }

    pub fn len(&self) -> usize {
        self.calls.len()
    }

    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// A call came back. One that nobody waits for any more is ignored.
    pub fn complete(&mut self, number: u32, reply: Reply) {
        if let Some(call) = self.calls.remove(&number) {
            call.end(Ok(reply));
        }
    }

    /// Nobody waits for a call any more; whether it was still waiting.
    pub fn remove(&mut self, number: u32) -> bool {
        self.calls.remove(&number).is_some()
    }

    /// Ends the calls that may run again elsewhere.
    pub fn give_up_idempotent(&mut self) {
        let given_up = self.calls.extract_if(|_, call| call.is_idempotent);
        given_up.for_each(|(_, call)| call.end(Err(LinkError::Lost)));
    }

    /// The link is lost: ends all calls, and takes no more.
    pub fn close(&mut self) {
        self.is_closed = true;
        for (_, call) in self.calls.drain() {
            call.end(Err(LinkError::Lost));
        }
    }
}

impl WaitingCall {
    fn end(self, result: CallResult) {
        // Fails only when nobody waits for the call any more: its deadline passed, or its caller left.
        let _ = self.reply.send(result);
    }
}
