//! What runs beside requests for as long as the process lives: it keeps the node's tables true to the store,
//! the other nodes, the back end and the settings.

mod backoff;
pub mod configuration;
pub mod crash_detection;
pub mod health;
pub mod links;
pub mod registration;
mod registry;
pub mod reload;
pub mod stored_quarantine;
