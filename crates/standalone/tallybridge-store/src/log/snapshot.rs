//! The snapshot, from which new readers start.

use tallybridge_config::{Document, Revision};

use super::{ConfigurationLog, error::LogError};
use crate::client::{Expectation, StoreError};

/// Store key of the snapshot. It lies outside the prefix of the records.
pub const SNAPSHOT_KEY: &str = "tallybridge/config/snapshot";

/// Revisions after which the snapshot is replaced unless the options say otherwise.
pub const SNAPSHOT_INTERVAL: u64 = 64;

/// The snapshot as read.
#[derive(Debug, Clone)]
pub(super) struct Snapshot {
    /// The document; the empty one when there is no snapshot yet.
    pub document: Document,
    /// What the key must be like for the snapshot to be replaced.
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

    /// Replaces the snapshot when the document is far enough past it. Failures are only logged.
    pub(super) async fn refresh_snapshot(&self, document: &Document, snapshot: Revision) {
        if document.revision.0 < snapshot.0 + self.options.snapshot_interval {
            return;
        }
        match self.compact(document).await {
            // Another author was faster, with this revision or a greater one.
            Ok(()) | Err(LogError::Store(StoreError::Conflict { .. })) => {}
            Err(error) => tracing::warn!(revision = document.revision.0, %error, "no snapshot"),
        }
    }

    /// Replaces the snapshot by this document, which must be the log's at its revision; does
    /// nothing when the snapshot has that revision or a greater one.
    ///
    /// # Errors
    ///
    /// [`LogError`]; a conflict of the store says that another author replaced it meanwhile.
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
