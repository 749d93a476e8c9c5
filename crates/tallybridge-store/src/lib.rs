//! Client of the key-value service and of the platform's machine list, the configuration log
//! kept in the store, and leases on duties.

pub mod client;
pub mod machines;

pub use client::{Entry, Expectation, LeaseId, StoreClient, StoreClientOptions, StoreError};
pub use machines::{Machine, MachineListClient, MachineState};
