//! HTTP client of the key-value store.
//!
//! A request is sent to the store's addresses in turn. The client retries a failed read
//! at the next address. It retries a write only if no connection could be opened, because the store
//! may have applied a write that was sent.

mod error;
mod key;
mod options;
mod requests;
mod response;
mod transport;
mod types;

pub(crate) use response::{RequestKind, read_response};
pub(crate) use transport::{Request, Transport};

pub use error::StoreError;
pub use options::StoreClientOptions;
pub use requests::StoreClient;
pub use types::{Change, Changes, Entry, Expectation, LeaseId, Page, PutOptions};
