//! Following the log.

use std::time::Duration;

use tallybridge_config::{Revision, RevisionRecord, revision::RECORD_PREFIX};

use super::{ConfigurationLog, error::LogError, read::parse_record};
use crate::client::Changes;

/// How far a reader has come. It only moves forward.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogCursor {
    revision: Revision,
    /// The store's counter when the log was last read; `None` before the first read.
    version: Option<u64>,
}

impl LogCursor {
    /// A reader that has this revision.
    #[must_use]
    pub const fn after(revision: Revision) -> Self {
        Self {
            revision,
            version: None,
        }
    }

    /// The last revision that the reader was given.
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
    /// The records after the cursor, waiting up to `wait` when there are none; moves the cursor
    /// past them. The first call only reads and doesn't wait.
    ///
    /// # Errors
    ///
    /// [`LogError`]; the cursor stays where it is.
    pub async fn watch(
        &self,
        cursor: &mut LogCursor,
        wait: Duration,
    ) -> Result<Vec<RevisionRecord>, LogError> {
        let Some(version) = cursor.version else {
            return self.catch_up(cursor).await;
        };
        let changes = self.store.watch(RECORD_PREFIX, version, wait).await?;
        // After a gap the log itself is read, which tells a damaged log from a late reader.
        let Some(records) = following(cursor.revision, &changes) else {
            return self.catch_up(cursor).await;
        };
        cursor.advance(&records, changes.version);
        Ok(records)
    }

    async fn catch_up(&self, cursor: &mut LogCursor) -> Result<Vec<RevisionRecord>, LogError> {
        let read = self.read_records(cursor.revision).await?;
        cursor.advance(&read.records, read.version);
        Ok(read.records)
    }
}

/// The changes as the records that follow `last`, or `None` when they are not.
fn following(mut last: Revision, changes: &Changes) -> Option<Vec<RevisionRecord>> {
    let mut records = Vec::new();
    for change in &changes.entries {
        let value = change.value.as_ref()?;
        let record = parse_record(last, &change.key, value).ok()?;
        last = record.revision;
        records.push(record);
    }
    Some(records)
}
