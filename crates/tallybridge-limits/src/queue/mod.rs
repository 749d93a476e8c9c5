//! Which calls wait for a slot, in which order they get one, and which are refused instead.

mod admission;
mod class;
mod offer;
mod settings;

pub use admission::AdmissionQueue;
pub use offer::{Offer, Ticket, Waiting};
pub use settings::QueueSettings;
