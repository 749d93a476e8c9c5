//! Stand-in of the key-value store, with the protocol of the design page and faults on demand.
//!
//! Besides the store's own requests it takes `POST /fault` with a [`FaultOrder`] and answers
//! `GET /requests` with [`RequestCounts`]. Those two are neither limited nor subject to faults.

mod apply;
mod command;
mod counts;
mod fault;
mod late;
mod lease;
mod operation;
mod options;
mod rate;
mod reply;
mod routes;
mod server;
mod shared;
mod table;
mod watch;

pub use command::{StoreArguments, run};
pub use counts::RequestCounts;
pub use fault::{FaultOrder, LossManner, OutageManner};
pub use options::StoreOptions;
pub use server::StoreStandin;
pub use table::Entry;
