//! The processes of a run: started on loopback addresses, ended whatever happens.

mod addresses;
mod child;
mod deployment;
mod error;
mod files;
mod machine;
mod platform;
mod starter;

pub use addresses::{LoopbackMachine, MachineAddresses};
pub use child::ChildProcess;
pub use deployment::Deployment;
pub use error::ProcessError;
pub use machine::Machine;
pub use platform::Platform;
