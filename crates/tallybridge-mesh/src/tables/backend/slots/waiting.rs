//! Queue of the calls that wait for a slot, and the channels that deliver the results.

use std::{collections::HashMap, time::Duration};

use tallybridge_core::Criticality;
use tallybridge_limits::{AdmissionQueue, Offer, QueueSettings, QueuedCall, Ticket};
use tokio::{sync::oneshot, time::Instant};

use super::NoSlot;

const QUEUE_CAPACITY_PER_SLOT: usize = 4;

/// Whether a waiting call gets a slot.
pub(super) type GrantResult = Result<(), NoSlot>;

pub(super) struct QueueEntry {
    pub(super) ticket: Ticket,
    /// Identifies the call in [`WaitingCalls`].
    pub(super) call_number: u64,
    pub(super) receiver: oneshot::Receiver<GrantResult>,
}

/// The most critical waiting call, removed from the queue.
pub(super) struct NextCall {
    pub(super) sender: oneshot::Sender<GrantResult>,
    pub(super) waited: Duration,
}

#[derive(Debug)]
pub(super) struct WaitingCalls {
    queue: AdmissionQueue<u64>,
    /// Senders of the results by call number.
    senders: HashMap<u64, oneshot::Sender<GrantResult>>,
    next_call_number: u64,
}

impl WaitingCalls {
    pub(super) fn new(slots: u32) -> Self {
        Self {
            queue: new_queue(slots),
            senders: HashMap::new(),
            next_call_number: 0,
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of waiting calls that are at least as critical as `criticality`.
    pub(super) fn count_ahead_of(&self, criticality: Criticality) -> usize {
        Criticality::ALL
            .into_iter()
            .filter(|class| *class >= criticality)
            .map(|class| self.queue.len_by_class(class))
            .sum()
    }

    /// Adds a call. If the queue is full, refuses a less critical call in its place, or else this one.
    pub(super) fn enqueue(
        &mut self,
        criticality: Criticality,
        wait_until: Instant,
        now: Instant,
    ) -> Result<QueueEntry, NoSlot> {
        let call_number = self.next_call_number;
        self.next_call_number += 1;
        let call = QueuedCall {
            criticality,
            deadline: wait_until.into_std(),
            arrived: now.into_std(),
            item: call_number,
        };
        let ticket = match self.queue.offer(call, now.into_std()) {
            Offer::Queued(ticket) => ticket,
            Offer::QueuedDisplacing(ticket, displaced) => {
                self.refuse(displaced, NoSlot::Full);
                ticket
            }
            Offer::Refused(_) => return Err(NoSlot::Full),
        };
        let (sender, receiver) = oneshot::channel();
        self.senders.insert(call_number, sender);
        Ok(QueueEntry {
            ticket,
            call_number,
            receiver,
        })
    }

    /// Removes the most critical call that still waits.
    pub(super) fn take_next(&mut self, now: Instant) -> Option<NextCall> {
        loop {
            let next = self.queue.take(now.into_std())?;
            if let Some(sender) = self.senders.remove(&next.item) {
                let waited = now.into_std().saturating_duration_since(next.arrived);
                return Some(NextCall { sender, waited });
            }
        }
    }

    /// Removes a call that stopped waiting, if it is still in the queue.
    pub(super) fn remove(&mut self, call_number: u64, ticket: Ticket) {
        if self.senders.remove(&call_number).is_some() {
            self.queue.cancel(ticket);
        }
    }

    pub(super) fn refuse_expired(&mut self, now: Instant) {
        for expired in self.queue.expire(now.into_std()) {
            self.refuse(expired, NoSlot::Full);
        }
    }

    /// Refuses all calls with [`NoSlot::Closed`], and replaces the queue by one for `slots` slots.
    pub(super) fn refuse_all(&mut self, slots: u32) {
        let call_numbers: Vec<u64> = self.senders.keys().copied().collect();
        for call_number in call_numbers {
            self.refuse(call_number, NoSlot::Closed);
        }
        self.queue = new_queue(slots);
    }

    /// Adapts the capacity of the queue to the number of slots. Does nothing while calls wait.
    pub(super) fn resize(&mut self, slots: u32) {
        if self.queue.is_empty() {
            self.queue = new_queue(slots);
        }
    }

    fn refuse(&mut self, call_number: u64, reason: NoSlot) {
        if let Some(sender) = self.senders.remove(&call_number) {
            // Sending fails only if the call has stopped waiting.
            let _ = sender.send(Err(reason));
        }
    }
}

fn new_queue(slots: u32) -> AdmissionQueue<u64> {
    AdmissionQueue::new(QueueSettings {
        capacity: slots as usize * QUEUE_CAPACITY_PER_SLOT,
        ..QueueSettings::default()
    })
}
