//! State of an append across its tries: the log as read so far, and a write whose outcome is
//! unknown.

use tallybridge_config::{Document, Revision, RevisionRecord};

use super::{
    ConfigurationLog,
    change::{AppendOutcome, ChangeRequest, Conflict},
    error::{AppendError, LogError},
    read::apply_all,
};
use crate::client::StoreError;

/// An append in progress.
#[derive(Debug)]
pub(super) struct Attempt<'change> {
    change: &'change ChangeRequest,
    /// Document of the last revision that was read; `None` before the first read.
    document: Option<Document>,
    /// Set by the first read.
    pub snapshot_revision: Revision,
    /// Revision of a write whose outcome is unknown. No other revision may be tried until a record
    /// of this revision is read, because the write may still arrive.
    unsettled: Option<Revision>,
}

impl<'change> Attempt<'change> {
    pub fn new(change: &'change ChangeRequest) -> Self {
        Self {
            change,
            document: None,
            snapshot_revision: Revision::default(),
            unsettled: None,
        }
    }

    /// Reads the new records of the log. Returns the outcome if they decide it.
    pub async fn catch_up(
        &mut self,
        log: &ConfigurationLog,
    ) -> Result<Option<AppendOutcome>, AppendError> {
        let records = match &mut self.document {
            Some(document) => {
                let records = log.read_since(document.revision).await?;
                apply_all(document, &records)?;
                records
            }
            None => self.read_from_base(log).await?,
        };
        if !records.is_empty() {
            self.unsettled = None;
        }
        Ok(self.find_outcome(&records))
    }

    /// Reads the document. Returns the records after the base of the change.
    async fn read_from_base(
        &mut self,
        log: &ConfigurationLog,
    ) -> Result<Vec<RevisionRecord>, AppendError> {
        let mut document = log.read_snapshot().await?.document;
        let snapshot_revision = document.revision;
        let base = self.change.base;
        let mut records = log.read_since(base.min(snapshot_revision)).await?;
        let after_snapshot = records.partition_point(|record| record.revision <= snapshot_revision);
        apply_all(&mut document, &records[after_snapshot..])?;
        if base > document.revision {
            let current = document.revision;
            return Err(AppendError::BaseAhead { base, current });
        }
        records.retain(|record| record.revision > base);
        self.document = Some(document);
        self.snapshot_revision = snapshot_revision;
        Ok(records)
    }

    /// Looks for the record of this change first, because a write whose response was lost is not a
    /// conflict.
    fn find_outcome(&self, records: &[RevisionRecord]) -> Option<AppendOutcome> {
        let own_record = records
            .iter()
            .find(|record| record.change_id == self.change.change_id);
        if let Some(record) = own_record {
            let revision = record.revision;
            return Some(AppendOutcome::Appended { revision });
        }
        let entries = self.change.conflicting_entries(records);
        let current = records.last()?.revision;
        (!entries.is_empty()).then_some(AppendOutcome::Conflict(Conflict {
            base: self.change.base,
            current,
            entries,
        }))
    }

    /// Applies the change to the document and validates the result.
    pub fn build_candidate(&self, made_unix_ms: u64) -> Result<Candidate, AppendError> {
        let mut document = self.document.clone().unwrap_or_default();
        let current = document.revision;
        let record = self.change.to_record(current.next(), made_unix_ms);
        apply_all(&mut document, std::slice::from_ref(&record))?;
        let violations = document.check();
        if !violations.is_empty() {
            return Err(AppendError::Invalid {
                current,
                violations,
            });
        }
        Ok(Candidate { document, record })
    }

    pub const fn mark_unsettled(&mut self, revision: Revision) {
        self.unsettled = Some(revision);
    }

    pub fn deadline_error(&self, last: StoreError) -> AppendError {
        self.final_error(AppendError::NotMade { last })
    }

    /// Returns [`AppendError::Unsettled`] instead of a store or log error if the outcome of a write
    /// is unknown.
    pub fn final_error(&self, error: AppendError) -> AppendError {
        let Some(revision) = self.unsettled else {
            return error;
        };
        match error {
            AppendError::NotMade { last } => AppendError::Unsettled {
                revision,
                last: last.into(),
            },
            AppendError::Log(last) => AppendError::Unsettled { revision, last },
            _ => error,
        }
    }
}

/// The next revision, not yet written to the store.
#[derive(Debug)]
pub(super) struct Candidate {
    pub document: Document,
    pub record: RevisionRecord,
}

impl From<LogError> for AppendError {
    fn from(error: LogError) -> Self {
        Self::Log(error)
    }
}
