//! Calls that wait for a slot, and how each of them learns whether it got one.

use std::{collections::HashMap, time::Duration};

use tallybridge_core::Criticality;
use tallybridge_limits::{AdmissionQueue, Offer, QueueSettings, QueuedCall, Ticket};
use tokio::{sync::oneshot, time::Instant};

use super::NoSlot;

/// Calls that may wait, for each slot. Origin not recorded.
const QUEUE_PER_SLOT: usize = 4;

/// A granted slot, or why there is none.
pub(super) type Grant = Result<(), NoSlot>;

/// A call that was put into the queue.
pub(super) struct Queued {
    pub(super) ticket: Ticket,
    pub(super) waiter: u64,
    pub(super) grant: oneshot::Receiver<Grant>,
}

/// A call whose turn it is.
pub(super) struct NextCall {
    pub(super) grant: oneshot::Sender<Grant>,
    pub(super) waited: Duration,
}

/// The calls that wait for a slot.
#[derive(Debug)]
pub(super) struct WaitingCalls {
    queue: AdmissionQueue<u64>,
    /// By the number that the queue knows each call by.
    grants: HashMap<u64, oneshot::Sender<Grant>>,
    next_waiter: u64,
}

impl WaitingCalls {
    /// An empty queue in front of so many slots.
    pub(super) fn new(slots: u32) -> Self {
        Self {
            queue: queue_for(slots),
            grants: HashMap::new(),
            next_waiter: 0,
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.queue.len()
    }

    /// Calls that go before one of a class.
    pub(super) fn ahead_of(&self, criticality: Criticality) -> usize {
        Criticality::ALL
            .into_iter()
            .filter(|class| *class >= criticality)
            .map(|class| self.queue.len_by_class(class))
            .sum()
    }

    /// Adds a call, at the cost of a less critical one if the queue is full.
    pub(super) fn enqueue(
        &mut self,
        criticality: Criticality,
        wait_until: Instant,
        now: Instant,
    ) -> Result<Queued, NoSlot> {
        let waiter = self.next_waiter;
        self.next_waiter += 1;
        let call = QueuedCall {
            criticality,
            deadline: wait_until.into_std(),
            arrived: now.into_std(),
            item: waiter,
        };
        let ticket = match self.queue.offer(call, now.into_std()) {
            Offer::Queued(ticket) => ticket,
            Offer::QueuedDisplacing(ticket, displaced) => {
                self.refuse(displaced, NoSlot::Full);
                ticket
            }
            Offer::Refused(_) => return Err(NoSlot::Full),
        };
        let (sender, grant) = oneshot::channel();
        self.grants.insert(waiter, sender);
        Ok(Queued {
            ticket,
            waiter,
            grant,
        })
    }

    /// Takes out the call whose turn it is.
    pub(super) fn take_next(&mut self, now: Instant) -> Option<NextCall> {
        loop {
            let next = self.queue.take(now.into_std())?;
            if let Some(grant) = self.grants.remove(&next.item) {
                let waited = now.into_std().saturating_duration_since(next.arrived);
                return Some(NextCall { grant, waited });
            }
        }
    }

    /// Takes out a call that gave up, if it still waits.
    pub(super) fn leave(&mut self, waiter: u64, ticket: Ticket) {
        if self.grants.remove(&waiter).is_some() {
            self.queue.cancel(ticket);
        }
    }

    /// Refuses the calls that waited too long.
    pub(super) fn refuse_late(&mut self, now: Instant) {
        for late in self.queue.expire(now.into_std()) {
            self.refuse(late, NoSlot::Full);
        }
    }

    /// Refuses every call, as the back end takes no more work. The queue then is in front of so many
    /// slots.
    pub(super) fn refuse_all(&mut self, slots: u32) {
        let waiting: Vec<u64> = self.grants.keys().copied().collect();
        for waiter in waiting {
            self.refuse(waiter, NoSlot::Closed);
        }
        self.queue = queue_for(slots);
    }

    /// Fits the queue to so many slots, unless calls wait in it.
    pub(super) fn resize(&mut self, slots: u32) {
        if self.queue.is_empty() {
            self.queue = queue_for(slots);
        }
    }

    fn refuse(&mut self, waiter: u64, reason: NoSlot) {
        if let Some(grant) = self.grants.remove(&waiter) {
            // Fails only if the call gave up meanwhile, and then nobody needs the answer.
            let _ = grant.send(Err(reason));
        }
    }
}

fn queue_for(slots: u32) -> AdmissionQueue<u64> {
    AdmissionQueue::new(QueueSettings {
        capacity: slots as usize * QUEUE_PER_SLOT,
        ..QueueSettings::default()
    })
}
