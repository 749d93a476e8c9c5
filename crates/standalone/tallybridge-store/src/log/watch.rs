//! Watches the log for new records.

use std::time::Duration;

use tallybridge_config::{Revision, RevisionRecord, revision::RECORD_PREFIX};

use super::{ConfigurationLog, error::LogError, read::parse_record};
use crate::client::Changes;

/// Position of a reader in the log, which only moves forward.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogCursor {
    revision: Revision,
    /// Version of the store at the last read; `None` before the first read.
    version: Option<u64>,
}

impl LogCursor {
    /// Creates a cursor of a reader that has all records up to `revision`.
    #[must_use]
    pub const fn after(revision: Revision) -> Self {
        Self {
            revision,
            version: None,
        }
    }

    /// Returns the last revision that the reader has received.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    fn advance(&mut self, records: &[RevisionRecord], version: u64) {
        if let Some(record) = records.last() {
            self.revision = record.revision;
        }
        self.version = Some(version);
    }
}

impl ConfigurationLog {
    /// Returns the records after the cursor and advances it. Waits up to `wait` for a record if
    /// there is none; the first call never waits.
    ///
    /// # Errors
    ///
    /// Any [`LogError`]. On an error the cursor does not move.
    pub async fn watch(
        &self,
        cursor: &mut LogCursor,
        wait: Duration,
    ) -> Result<Vec<RevisionRecord>, LogError> {
        let Some(version) = cursor.version else {
            return self.catch_up(cursor).await;
        };
        let changes = self.store.watch(RECORD_PREFIX, version, wait).await?;
        // Reads the log after a gap, to distinguish a damaged log from a reader that is behind.
        let Some(records) = parse_consecutive(cursor.revision, &changes) else {
            return self.catch_up(cursor).await;
        };
        cursor.advance(&records, changes.version);
        Ok(records)
    }

    async fn catch_up(&self, cursor: &mut LogCursor) -> Result<Vec<RevisionRecord>, LogError> {
        let fetched = self.read_records(cursor.revision).await?;
        cursor.advance(&fetched.records, fetched.version);
        Ok(fetched.records)
    }
}

/// Parses the changes as the records after `last`. Returns `None` if they are not consecutive.
fn parse_consecutive(mut last: Revision, changes: &Changes) -> Option<Vec<RevisionRecord>> {
    let mut records = Vec::new();
    for change in &changes.entries {
        let value = change.value.as_ref()?;
        let record = parse_record(last, &change.key, value).ok()?;
        last = record.revision;
        records.push(record);
    }
    Some(records)
}
