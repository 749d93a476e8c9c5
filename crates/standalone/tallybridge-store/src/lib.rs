//! Client of the key-value service and of the platform's machine list, the configuration log
//! kept in the store, and leases on duties.

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
