//! What an author knows of the log while making a change.

use tallybridge_config::{Document, Revision, RevisionRecord};

use super::{
    ConfigurationLog,
    change::{AppendOutcome, ChangeRequest, Conflict},
    error::{AppendError, LogError},
    read::apply_all,
};
use crate::client::StoreError;

/// An append under way.
#[derive(Debug)]
pub(super) struct Attempt<'change> {
    change: &'change ChangeRequest,
    /// The log as far as it was read; `None` before the first read.
    document: Option<Document>,
    /// Revision of the snapshot that was read.
    pub snapshot: Revision,
    /// A revision for which a write was sent whose fate is unknown. It is settled once a record
    /// of that revision is seen, be it this change's or another's: until then the write may
    /// still arrive, so no other revision may be tried.
    unsettled: Option<Revision>,
}

impl<'change> Attempt<'change> {
    pub fn new(change: &'change ChangeRequest) -> Self {
        Self {
            change,
            document: None,
            snapshot: Revision::default(),
            unsettled: None,
        }
    }

    /// Reads what was added to the log; gives the outcome when that decides it.
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
        Ok(self.judge(&records))
    }

    /// Reads the document and the records since the author's base.
    async fn read_from_base(
        &mut self,
        log: &ConfigurationLog,
    ) -> Result<Vec<RevisionRecord>, AppendError> {
        let mut document = log.read_snapshot().await?.document;
        let snapshot = document.revision;
        let base = self.change.base;
        let mut records = log.read_since(base.min(snapshot)).await?;
        let after_snapshot = records.partition_point(|record| record.revision <= snapshot);
        apply_all(&mut document, &records[after_snapshot..])?;
        if base > document.revision {
            let current = document.revision;
            return Err(AppendError::BaseAhead { base, current });
        }
        records.retain(|record| record.revision > base);
        self.document = Some(document);
        self.snapshot = snapshot;
        Ok(records)
    }

    /// The own change is looked for first: a write whose confirmation was lost is no conflict.
    fn judge(&self, records: &[RevisionRecord]) -> Option<AppendOutcome> {
        let own = records
            .iter()
            .find(|record| record.change_id == self.change.change_id);
        if let Some(record) = own {
            let revision = record.revision;
            return Some(AppendOutcome::Appended { revision });
        }
        let entries = self.change.conflicts_with(records);
        let current = records.last()?.revision;
        (!entries.is_empty()).then_some(AppendOutcome::Conflict(Conflict {
            base: self.change.base,
            current,
            entries,
        }))
    }

    /// The document that the change makes, checked, with its record.
    pub fn candidate(&self, made_unix_ms: u64) -> Result<Candidate, AppendError> {
        let mut document = self.document.clone().unwrap_or_default();
        let current = document.revision;
        let record = self.change.record(current.next(), made_unix_ms);
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

    /// Notes that the fate of a write is unknown.
    pub const fn note_unsettled(&mut self, revision: Revision) {
        self.unsettled = Some(revision);
    }

    /// The error with which the append ends when no time is left.
    pub fn give_up(&self, last: StoreError) -> AppendError {
        self.end(AppendError::NotMade { last })
    }

    /// The error with which the append ends: an unsettled write outweighs every other one.
    pub fn end(&self, error: AppendError) -> AppendError {
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

/// A change as the next revision.
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
