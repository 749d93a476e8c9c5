//! The configuration as a log of revisions kept in the store.
//!
//! The record of revision N is created once, by a compare-and-swap that succeeds only while its
//! key is absent, so each revision has one author. Records are never changed or removed.
//!
//! Compaction: so that a new reader need not fold the whole log, the key [`SNAPSHOT_KEY`] holds
//! the document of one revision, and a reader goes on from there with the records after it.
//! Whoever appends the record that is [`SNAPSHOT_INTERVAL`] revisions or more past the snapshot
//! replaces it, by a compare-and-swap and only by a greater revision. A snapshot that could not
//! be written costs readers time, nothing else: the next append tries again.

mod append;
mod attempt;
mod change;
mod error;
mod options;
mod read;
mod snapshot;
mod watch;

use crate::client::StoreClient;

pub use change::{AppendOutcome, ChangeRequest, Conflict, ConflictingEntry};
pub use error::{AppendError, LogError};
pub use options::LogOptions;
pub use snapshot::{SNAPSHOT_INTERVAL, SNAPSHOT_KEY};
pub use watch::LogCursor;

/// The configuration log in a store.
#[derive(Debug, Clone)]
pub struct ConfigurationLog {
    store: StoreClient,
    options: LogOptions,
}

impl ConfigurationLog {
    /// The log kept in this store.
    #[must_use]
    pub const fn new(store: StoreClient, options: LogOptions) -> Self {
        Self { store, options }
    }
}
