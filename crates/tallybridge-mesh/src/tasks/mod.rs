//! Background tasks that run for as long as the process.
//!
//! They keep the node's tables up to date with the store, the other nodes, the back end and the
//! settings. A task owns no state that requests need: it changes the node through its methods and
//! waits for its signals.

mod backoff;
pub mod configuration;
pub mod crash_detection;
pub mod health;
pub mod links;
pub mod registration;
pub mod registry;
pub mod reload;
pub mod stored_quarantine;
