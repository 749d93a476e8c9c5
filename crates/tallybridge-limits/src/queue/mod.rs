//! Which calls wait for a slot, in which order they get one, and which are refused instead.
//!
//! **Rule.** The most critical class goes first; within a class the earliest arrival, or the newest while
//! the class has a standing queue. A call whose time is up is refused, as is one that waited too long in a
//! standing queue, unless it is of the most critical class. In a full queue a more critical call displaces
//! the least one.
//!
//! **Inputs.** Class, arrival and deadline of each call; [`QueueSettings`]. Nothing is learned.
//!
//! **Output.** The call to run next, and the calls to refuse.
//!
//! **Why.** A queue that empties from time to time absorbs a burst, while a standing one only adds delay to
//! every call; under it the newest call has the most of its time left (`class.rs` names the sources).

mod admission;
mod class;
mod offer;
mod settings;

pub use admission::AdmissionQueue;
pub use offer::{Offer, Ticket, Waiting};
pub use settings::QueueSettings;
