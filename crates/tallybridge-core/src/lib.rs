//! Types that all crates of tallybridge share: identifiers, criticality classes, outcomes, error kinds
//! and the names of HTTP headers.

pub mod criticality;
pub mod error;
pub mod header;
pub mod identity;
pub mod key;
pub mod load;
pub mod outcome;
pub mod token;

pub use criticality::Criticality;
pub use error::{ErrorKind, Refusal};
pub use identity::{
    AttemptId, InstanceId, NodeId, RegionName, ServiceName, TemplateName, TenantName, ZoneName,
};
pub use key::RequestKey;
pub use load::LoadReport;
pub use outcome::Outcome;
pub use token::CallToken;
