//! What goes into an admission queue and what the queue answers.

use std::time::Instant;

use tallybridge_core::Criticality;

/// A call that waits for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Waiting<T> {
    /// The class of the call.
    pub criticality: Criticality,
    /// When nobody waits for the answer any more.
    pub deadline: Instant,
    /// When the call arrived at the node.
    pub arrived: Instant,
    /// What the owner of the queue knows the call by.
    pub item: T,
}

/// Names a call in a queue, for its cancellation; never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub(super) u64);

/// What became of a call that was offered to a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use = "a refused or displaced call must be answered"]
pub enum Offer<T> {
    /// The call waits.
    Queued(Ticket),
    /// The call waits, and the lesser one given here must be answered as refused.
    QueuedDisplacing(Ticket, T),
    /// The queue is full of calls at least as critical.
    Refused(T),
}
