//! Reads and replaces the snapshot of the log.

use tallybridge_config::{Document, Revision};

use super::{ConfigurationLog, error::LogError};
use crate::client::{Expectation, StoreError};

/// Store key of the snapshot. It does not start with the prefix of the records, so watches of the
/// records do not report it.
pub const SNAPSHOT_KEY: &str = "tallybridge/config/snapshot";

/// Default number of revisions after which the snapshot is replaced.
pub const SNAPSHOT_INTERVAL: u64 = 64;

#[derive(Debug, Clone)]
pub(super) struct Snapshot {
    /// Empty when no snapshot exists.
    pub document: Document,
    /// Condition for replacing the snapshot that was read.
    pub expectation: Expectation,
}

impl ConfigurationLog {
    pub(super) async fn read_snapshot(&self) -> Result<Snapshot, LogError> {
        let Some(entry) = self.store.get(SNAPSHOT_KEY).await? else {
            return Ok(Snapshot {
                document: Document::default(),
                expectation: Expectation::Absent,
            });
        };
        let document = serde_json::from_str(&entry.value).map_err(|error| LogError::Damaged {
            after: Revision::default(),
            detail: format!("{SNAPSHOT_KEY}: {error}"),
        })?;
        Ok(Snapshot {
            document,
            expectation: Expectation::Version(entry.version),
        })
    }

    /// Replaces the snapshot if the document is far enough past it. Only logs a
    /// failure, because the next append tries again.
    pub(super) async fn refresh_snapshot(&self, document: &Document, snapshot_revision: Revision) {
        if document.revision.0 < snapshot_revision.0 + self.options.snapshot_interval {
            return;
        }
        match self.compact(document).await {
            // A conflict means that another author has replaced the snapshot.
            Ok(()) | Err(LogError::Store(StoreError::Conflict { .. })) => {}
            Err(error) => tracing::warn!(
                revision = document.revision.0,
                %error,
                "could not write the configuration snapshot; the next append will retry"
            ),
        }
    }

    /// Replaces the snapshot with `document`, which must be the document of the log at its
    /// revision. Does nothing when the snapshot has the same or a greater revision.
    ///
    /// # Errors
    ///
    /// Any [`LogError`]; a conflict when another author replaced the snapshot at the same time.
    pub async fn compact(&self, document: &Document) -> Result<(), LogError> {
        let current = self.read_snapshot().await?;
        if current.document.revision >= document.revision {
            return Ok(());
        }
        let value = serde_json::to_string(document).map_err(|error| LogError::Damaged {
            after: document.revision,
            detail: error.to_string(),
        })?;
        self.store
            .put(SNAPSHOT_KEY, value, current.expectation)
            .await?;
        Ok(())
    }
}
