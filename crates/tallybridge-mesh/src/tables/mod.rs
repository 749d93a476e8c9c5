//! What a node knows and decides by: the back end beside it, the other nodes, and what was learned of
//! requests. Each table is plain state that is told the time; [`crate::node`] guards them by one lock.

pub mod admission;
pub mod backend;
pub mod configuration;
pub mod peers;
pub mod quarantine;
pub mod quotas;
pub mod retries;
pub mod running;
pub mod watchers;

pub use admission::{AdmissionControl, ServiceLoads};
pub use backend::{
    EndedIncarnation, FailureRate, FailureRateChange, Incarnation, InstanceState, LocalInstance,
    ReportEffect,
};
pub use configuration::{ConfigurationTable, Confirmed};
pub use peers::{Executor, LinkRequest, PeerTable, PlacementQuery, QuotaOwner};
pub use retries::{FirstAttempt, RetryBudgets, RetryRequest};
pub use running::{FoundParent, NestedEnd, Parent, RunningAttempts};
pub use watchers::WatcherTable;
