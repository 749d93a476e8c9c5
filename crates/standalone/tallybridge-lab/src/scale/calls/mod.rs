//! What a call costs at its entry node and at the executing node: two nodes, each on a thread of
//! its own, and a back end and callers on other threads, all over HTTP and sockets.

mod backend;
mod memory;
mod pair;
mod rate;
pub(super) mod setting;

pub use memory::measure_memory;
pub use rate::measure_rate;
