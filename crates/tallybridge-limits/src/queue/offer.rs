//! Input and result types of the admission queue.

use std::time::Instant;

use tallybridge_core::Criticality;

/// A call that waits for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuedCall<T> {
    /// Class that determines the serving order and which calls are shed first.
    pub criticality: Criticality,
    /// Time after which the caller no longer waits for the answer.
    pub deadline: Instant,
    /// Time of arrival at the node, from which the waiting time counts.
    pub arrived: Instant,
    /// Identification of the call for the owner of the queue.
    pub item: T,
}

/// Identifies a queued call for its cancellation. A queue never reuses a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub(super) u64);

/// Result of offering a call to a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use = "a refused or displaced call must be answered"]
pub enum Offer<T> {
    /// The call is queued.
    Queued(Ticket),
    /// The call is queued and has displaced a less critical call, which the owner of the queue must refuse.
    QueuedDisplacing(Ticket, T),
    /// The queue is full of calls that are at least as critical.
    Refused(T),
}
