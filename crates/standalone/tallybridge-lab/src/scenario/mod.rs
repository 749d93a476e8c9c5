//! Scenario files: topology, call graph, load phases and faults of one experiment.

mod chain;
mod check;
mod configuration;
mod endpoint;
mod fault;
mod kind;
mod load;
mod load_error;
mod phase;
mod shipped;
mod topology;

pub use chain::ChainCall;
pub use check::Mistake;
pub use endpoint::{Endpoint, NestedCall, ServiceTime};
pub use fault::{Fault, FaultAction};
pub use kind::Kind;
pub use load_error::{LoadError, SyntaxError};
pub use phase::{Phase, Share};
pub use shipped::{SHIPPED, Shipped};
pub use topology::{Scenario, Service};
