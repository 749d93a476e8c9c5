//! Stand-in of the platform's machine list, which lags behind the truth.
//!
//! Besides `GET /v1/machines` it takes `PUT /machines` with the whole list: what is put there
//! shows up in the answers after the set lag.

mod announce;
mod command;
mod lagging;
mod machine;
mod server;

pub use announce::{Listening, announce};
pub use command::{MachineListArguments, run};
pub use machine::{Machine, MachineState};
pub use server::{MachineListOptions, MachineListStandin};
