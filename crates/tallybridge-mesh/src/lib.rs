//! Routes calls of a service graph by host and path over a fleet of nodes, one beside each back end.
//!
//! A [`listener`] reads a request. At the entry, [`request`] admits it, selects an executor and
//! forwards the call over a [`link`]; the executor dispatches the call to the back end beside it
//! over [`http`]. [`tables`] has the state and the decisions, [`node`] the tables of one process and
//! the operations on them, and [`tasks`] the background work that keeps them up to date. The
//! [`platform::Platform`] trait hides everything that is specific to the platform.
//!
//! Each layer depends only on layers after it in this list: `run`, `listener`, `request` and `tasks`,
//! `node`, `tables`, `link`, `log`, `protocol`, `platform` and `configuration`, `http`, `memory`,
//! `settings`, `policy`, `clock`, `in_flight`.

pub mod clock;
pub mod configuration;
pub mod http;
pub mod in_flight;
pub mod link;
pub mod listener;
pub mod log;
pub mod memory;
pub mod node;
pub mod platform;
pub mod policy;
pub mod protocol;
pub mod request;
pub mod run;
pub mod settings;
pub mod tables;
pub mod tasks;

pub use configuration::{
    Configuration, Route, RouteKind, ServicePolicy, TrafficSplit, WeightedService,
};
pub use platform::{
    Consistency, ControlRequest, HeaderNames, InstanceReport, Platform, RegistryEntry,
    RegistryPage, ReportedState, StoreError, StoreFuture, StoredConfiguration,
    WatchedConfiguration,
};
pub use policy::{PolicySettings, PolicySwitch};
pub use run::run;
pub use settings::{MeshSettings, SettingOrigin, SettingRow, SettingsError};
pub use tasks::reload::SettingsSource;
