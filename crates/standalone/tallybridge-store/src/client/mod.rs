//! Client of the key-value store.

mod answer;
mod error;
mod key;
mod options;
mod requests;
mod transport;
mod types;

pub(crate) use answer::{Kind, read_answer};
pub(crate) use transport::{Request, Transport};

pub use error::StoreError;
pub use options::StoreClientOptions;
pub use requests::StoreClient;
pub use types::{Change, Changes, Entry, Expectation, LeaseId, Page, PutOptions};
