//! Which calls wait for a slot, in which order they get one, and which are refused instead.

mod admission;
mod class;
mod early_refusal;
mod level;
mod offer;
mod settings;

pub use admission::AdmissionQueue;
pub use early_refusal::EarlyRefusal;
pub use level::{AdmissionLevel, LevelSettings};
pub use offer::{Offer, Ticket, Waiting};
pub use settings::QueueSettings;
