//! Calls that wait for their reply on one link, by call number.

use std::collections::HashMap;

use tokio::sync::oneshot;

use super::{LinkError, Reply};

/// Result that ends a call.
pub(super) type CallResult = Result<Reply, LinkError>;

#[derive(Debug)]
pub(super) struct PendingCalls {
    next_number: u32,
    calls: HashMap<u32, PendingCall>,
    is_closed: bool,
}

#[derive(Debug)]
struct PendingCall {
    is_idempotent: bool,
    reply: oneshot::Sender<CallResult>,
}

impl PendingCalls {
    pub fn new() -> Self {
        Self {
            next_number: 1,
            calls: HashMap::new(),
            is_closed: false,
        }
    }

    /// Adds a call whose result goes to `reply`, and returns its number.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::NotSent`] if the link is closed.
    pub fn add(
        &mut self,
        is_idempotent: bool,
        reply: oneshot::Sender<CallResult>,
    ) -> Result<u32, LinkError> {
        if self.is_closed {
            return Err(LinkError::NotSent);
        }
        let number = self.next_number;
        // The number 0 is reserved for messages that belong to no call.
        self.next_number = self.next_number.wrapping_add(1).max(1);
        let call = PendingCall {
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

    /// Delivers a reply. Ignores the reply if the call is no longer pending.
    pub fn complete(&mut self, number: u32, reply: Reply) {
        if let Some(call) = self.calls.remove(&number) {
            call.finish(Ok(reply));
        }
    }

    /// Removes a call without a result. Returns whether the call was pending.
    pub fn remove(&mut self, number: u32) -> bool {
        self.calls.remove(&number).is_some()
    }

    /// Fails the idempotent calls, which may be retried at another node.
    pub fn abandon_idempotent(&mut self) {
        let abandoned = self.calls.extract_if(|_, call| call.is_idempotent);
        abandoned.for_each(|(_, call)| call.finish(Err(LinkError::NoReply)));
    }

    /// Fails all calls and rejects later ones.
    pub fn close(&mut self) {
        self.is_closed = true;
        for (_, call) in self.calls.drain() {
            call.finish(Err(LinkError::NoReply));
        }
    }
}

impl PendingCall {
    fn finish(self, result: CallResult) {
        // Fails only if the receiver was dropped, which happens when the call is cancelled.
        let _ = self.reply.send(result);
    }
}
