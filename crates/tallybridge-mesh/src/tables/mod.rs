//! State of a node: its back end, its peers, and what it learned from requests. Callers pass the
//! current time to decisions that depend on it; [`crate::node`] guards all tables with one lock.

pub mod admission;
pub mod backend;
pub mod configuration;
pub mod delegates;
pub mod peers;
pub mod quarantine;
pub mod quotas;
pub mod retries;
pub mod running;
pub mod watchers;

pub use admission::{AdmissionControl, ServiceLoads};
pub use backend::{
    AnnouncedLimit, AnnouncedRate, Announcement, EarlierNotices, EndedIncarnation, FailureRate,
    FailureRateChange, HealthCheckEffect, Incarnation, InstanceState, LimitChange, LocalInstance,
    ReportEffect,
};
pub use configuration::{ConfigurationTable, ConfirmedVersion};
pub use delegates::Delegates;
pub use peers::{BackendNotices, Executor, LinkRequest, PeerTable, PlacementQuery, QuotaOwner};
pub use retries::{FirstAttempt, RetryBudgets, RetryRequest};
pub use running::{FoundParent, NestedEnd, Parent, RunningAttempts};
pub use watchers::WatcherTable;
