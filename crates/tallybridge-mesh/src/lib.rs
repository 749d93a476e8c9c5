//! Calls of a service graph, routed by host and path over a fleet of nodes beside back ends.
//!
//! A call goes straight down: a [`listener`] reads it, [`request`] admits it, places it and forwards
//! it over a [`link`] to the executor, which dispatches it to the back end beside it over [`http`].
//! The state and the decisions are in [`tables`]; [`node`] holds the tables of one process and the
//! operations on them; [`tasks`] keep them up to date. Everything that depends on the platform comes
//! in through the [`platform::Platform`] trait.
//!
//! Each layer uses those below it only: `run`, `listener`, `request` and `tasks`, `node`, `tables`,
//! `link`, `log`, `protocol`, `platform` and `configuration`, `http`, `settings`, `policy`, `clock`.

pub mod clock;
pub mod configuration;
pub mod http;
pub mod link;
pub mod listener;
pub mod log;
pub mod node;
pub mod platform;
pub mod policy;
pub mod protocol;
pub mod request;
pub mod run;
pub mod settings;
pub mod tables;
pub mod tasks;

pub use configuration::{Configuration, Route, RouteKind, ServicePolicy, WeightedService};
pub use platform::{
    ControlRequest, HeaderNames, InstanceReport, Platform, RegistryPage, ReportedState, StoreError,
    StoreFuture, StoredConfiguration, WatchedConfiguration,
};
pub use policy::{PolicySettings, PolicySwitch};
pub use run::run;
pub use settings::{MeshSettings, SettingOrigin, SettingRow, SettingsError};
pub use tasks::reload::SettingsSource;
