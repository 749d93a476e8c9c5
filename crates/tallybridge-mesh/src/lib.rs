//! Calls of a service graph, routed by host and path over a fleet of nodes beside back ends.
//!
//! The data path of a fleet whose platform owns the configuration: an entry takes a request off a
//! caller's connection, picks a route, a service and an executor, and the executor hands it to the
//! back end beside it. Everything that depends on the platform comes in through [`seam`].

pub mod clock;
pub mod configuration;
pub mod crashes;
pub mod decision_log;
pub mod door;
pub mod http;
pub mod log_limit;
pub mod node;
pub mod offered_work;
pub mod path;
pub mod peer;
pub mod policy;
pub mod reload;
pub mod run;
pub mod seam;
pub mod settings;
pub mod slot_share;
pub mod store;
pub mod tables;
pub mod tenants;
pub mod work;

pub use configuration::{Configuration, Route, RouteKind, RoutePart, ServicePolicy};
pub use policy::{PolicySettings, PolicySwitch};
pub use reload::SettingsSource;
pub use run::run;
pub use seam::{
    ControlRequest, HeaderNames, InstanceReport, Platform, RegisterPage, ReportedState, StoreError,
    StoreFuture, StoredConfiguration, WatchedConfiguration,
};
pub use settings::{MeshSettings, SettingOrigin, SettingRow, SettingsError};
