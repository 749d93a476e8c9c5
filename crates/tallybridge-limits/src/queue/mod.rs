//! Decides which calls wait for a slot, in which order they get one and which calls are refused.
//!
//! The most critical class is served first. Within a class, the oldest call is served first, or the
//! newest while the class has a standing queue. The queue refuses calls that cannot complete before
//! their deadline, and calls of other than the most critical class that waited too long in a standing
//! queue. In a full queue, a more critical call displaces the last call in serving order.
//!
//! The decisions depend only on the class, arrival time and deadline of each call and on
//! [`QueueSettings`]. They prevent a standing queue from delaying every call.

mod admission;
mod class;
mod offer;
mod settings;

pub use admission::AdmissionQueue;
pub use offer::{Offer, QueuedCall, Ticket};
pub use settings::QueueSettings;
