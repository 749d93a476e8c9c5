//! Links between nodes: a call travels as the bytes of its request, an answer as those of its
//! answer.

pub mod accept;
pub mod dial;
pub mod frames;
pub mod link;
pub mod message;

pub use link::{Link, LinkError};
pub use message::{CallMessage, Frame, FrameError, Message};
