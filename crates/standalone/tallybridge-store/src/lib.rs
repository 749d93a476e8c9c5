//! Clients of the platform's key-value store and machine list, the configuration log in the
//! store, and duties, which one node at a time holds by a lease.

pub mod backoff;
pub mod client;
pub mod duty;
pub mod log;
pub mod machines;

pub use backoff::Backoff;
pub use client::{Entry, Expectation, LeaseId, StoreClient, StoreClientOptions, StoreError};
pub use duty::{Acquired, DutyOptions, Fence, FencingToken, GuardedKey, LeaseHolder};
pub use log::{AppendError, AppendOutcome, ChangeRequest, ConfigurationLog, LogCursor, LogError};
pub use machines::{Machine, MachineListClient, MachineState};
