//! Chooses the executor node that takes the next call of a service.
//!
//! An [`EndpointTable`] holds one row per executor node and is owned by the node's actor. Each call
//! goes to the cheapest of a few randomly drawn endpoints. The cost combines the load that an
//! endpoint reports with the latency, failures and refusals that this node observes, so that a
//! false load report alone does not attract traffic.

pub mod attempt;
pub mod endpoint;
pub mod settings;
pub mod table;

pub use attempt::{AttemptResult, NoEndpoint};
pub use endpoint::{Endpoint, EndpointState, EndpointStatus, Locality, Proximity};
pub use settings::RoutingSettings;
pub use table::{EndpointTable, ServiceLoad};
