//! The path of a request: the entry that routes it, and the executor beside the back end.

mod credentials;
pub mod entry;
pub mod execute;
pub mod forward;
pub mod quota;
