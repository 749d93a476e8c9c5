//! The configuration as a log of revisions in the store.
//!
//! The record of a revision is created by a compare-and-swap that requires its key to be absent,
//! so each revision has one author. Records are never changed or removed.
//!
//! The key [`SNAPSHOT_KEY`] holds the document of one revision, so that a new reader applies only
//! the records after the snapshot. An author whose record is [`SNAPSHOT_INTERVAL`] or more
//! revisions past the snapshot replaces it by a compare-and-swap, only with a greater revision. If
//! this fails, readers apply more records until a later append succeeds.

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

/// Reader and writer of the configuration log in a store.
#[derive(Debug, Clone)]
pub struct ConfigurationLog {
    store: StoreClient,
    options: LogOptions,
}

impl ConfigurationLog {
    /// Creates a client of the log in `store`, without accessing the store.
    #[must_use]
    pub const fn new(store: StoreClient, options: LogOptions) -> Self {
        Self { store, options }
    }
}
