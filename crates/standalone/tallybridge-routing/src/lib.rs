//! Which executor node takes the next call of a service.
//!
//! An [`EndpointTable`] holds one row for each executor node and is owned by the node's actor. A
//! call is routed by two random choices on observed load; what endpoints report of themselves is
//! weighed against what is seen of them.

pub mod attempt;
pub mod endpoint;
pub mod settings;
pub mod table;

pub use attempt::{AttemptResult, NoEndpoint};
pub use endpoint::{Endpoint, EndpointState, EndpointStatus, Locality, Proximity};
pub use settings::RoutingSettings;
pub use table::{EndpointTable, ServiceLoad};
