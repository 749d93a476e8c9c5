//! Reads records and documents from the log.

use tallybridge_config::{
    Document, Revision, RevisionRecord,
    revision::{RECORD_PREFIX, record_key},
};

use super::{ConfigurationLog, error::LogError};

/// Records with the version of the store from which a watch continues.
#[derive(Debug)]
pub(super) struct Records {
    pub records: Vec<RevisionRecord>,
    pub version: u64,
}

impl ConfigurationLog {
    /// Reads all records after `revision`, in order and without gaps.
    ///
    /// # Errors
    ///
    /// Any [`LogError`]. No records are returned unless all could be read.
    pub async fn read_since(&self, revision: Revision) -> Result<Vec<RevisionRecord>, LogError> {
        Ok(self.read_records(revision).await?.records)
    }

    /// Reads the document of the last revision.
    ///
    /// # Errors
    ///
    /// Any [`LogError`].
    pub async fn read_document(&self) -> Result<Document, LogError> {
        let mut document = self.read_snapshot().await?.document;
        let records = self.read_since(document.revision).await?;
        apply_all(&mut document, &records)?;
        Ok(document)
    }

    /// Reads the last `limit` records, newest first.
    ///
    /// # Errors
    ///
    /// Any [`LogError`].
    pub async fn history(&self, limit: usize) -> Result<Vec<RevisionRecord>, LogError> {
        let last = self.read_document().await?.revision.0;
        let limit_u64 = u64::try_from(limit).unwrap_or(u64::MAX);
        let first = Revision(last.saturating_sub(limit_u64));
        let mut records = self.read_since(first).await?;
        records.reverse();
        // Records appended between the two reads replace the oldest ones.
        records.truncate(limit);
        Ok(records)
    }

    pub(super) async fn read_records(&self, revision: Revision) -> Result<Records, LogError> {
        let mut records = Vec::new();
        let mut last = revision;
        loop {
            let after = record_key(last);
            let page = self
                .store
                .list(RECORD_PREFIX, &after, self.options.page_limit)
                .await?;
            let is_last = page.entries.len() < self.options.page_limit;
            for entry in page.entries {
                let record = parse_record(last, &entry.key, &entry.value)?;
                last = record.revision;
                records.push(record);
            }
            if is_last {
                // New records sort last, so the pages contain all records up to the version of
                // the last page.
                let version = page.version;
                return Ok(Records { records, version });
            }
        }
    }
}

/// Parses a record, which must be the revision after `last`.
pub(super) fn parse_record(
    last: Revision,
    key: &str,
    value: &str,
) -> Result<RevisionRecord, LogError> {
    let damaged = |detail: String| LogError::Damaged {
        after: last,
        detail,
    };
    let next = last.next();
    if key != record_key(next) {
        return Err(damaged(format!(
            "found key {key} instead of revision {next}"
        )));
    }
    let record: RevisionRecord =
        serde_json::from_str(value).map_err(|error| damaged(format!("{key}: {error}")))?;
    if record.revision != next {
        return Err(damaged(format!(
            "key {key} contains revision {}",
            record.revision
        )));
    }
    Ok(record)
}

/// Applies records, which must continue from the revision of the document.
pub(super) fn apply_all(
    document: &mut Document,
    records: &[RevisionRecord],
) -> Result<(), LogError> {
    for record in records {
        document.apply(record).map_err(|error| LogError::Damaged {
            after: error.current,
            detail: error.to_string(),
        })?;
    }
    Ok(())
}
