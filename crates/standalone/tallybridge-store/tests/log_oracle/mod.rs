//! Oracle of the configuration log: compares the records in the store with the results that the
//! authors received.

pub mod edits;

use std::collections::{BTreeMap, BTreeSet};

use tallybridge_config::{
    Document, Edit, EntryName, Revision, RevisionRecord, revision::RECORD_PREFIX,
};
use tallybridge_lab::standin::store::StoreStandin;
use tallybridge_store::{AppendError, AppendOutcome, ChangeRequest, log::SNAPSHOT_KEY};
use uuid::Uuid;

/// Last result that the author of a change received.
#[derive(Debug, Clone)]
pub struct Reply {
    pub change: ChangeRequest,
    pub result: Result<AppendOutcome, AppendError>,
}

/// Copy of the log with the last result of each change.
#[derive(Debug, Default)]
pub struct Oracle {
    records: Vec<RevisionRecord>,
    replies: BTreeMap<Uuid, Reply>,
    snapshot: Revision,
}

impl Oracle {
    pub fn revision(&self) -> u64 {
        self.records.len() as u64
    }

    pub fn record_reply(&mut self, reply: Reply) {
        self.replies.insert(reply.change.change_id, reply);
    }

    /// Returns the changes with an unknown outcome.
    pub fn unsettled(&self) -> Vec<ChangeRequest> {
        self.replies
            .values()
            .filter(|reply| matches!(reply.result, Err(AppendError::Unsettled { .. })))
            .map(|reply| reply.change.clone())
            .collect()
    }

    /// Returns the document of a revision, built from the records.
    pub fn document(&self, revision: Revision) -> Document {
        let mut document = Document::default();
        for record in &self.records[..usize::try_from(revision.0).unwrap()] {
            document.apply(record).unwrap();
        }
        document
    }

    /// Reads the log directly from the stand-in and checks that it only grew.
    pub fn read_log(&mut self, standin: &StoreStandin) {
        let records: Vec<RevisionRecord> = standin
            .entries(RECORD_PREFIX)
            .iter()
            .map(|entry| serde_json::from_str(&entry.value.clone().unwrap()).unwrap())
            .collect();
        for (index, record) in records.iter().enumerate() {
            assert_eq!(
                record.revision.0,
                index as u64 + 1,
                "revisions are not consecutive"
            );
        }
        assert!(
            records.starts_with(&self.records),
            "a record was changed or removed"
        );
        self.records = records;
        let document = self.document(Revision(self.revision()));
        assert_eq!(
            document.check(),
            [],
            "the document violates validation rules"
        );
        self.read_snapshot(standin);
    }

    fn read_snapshot(&mut self, standin: &StoreStandin) {
        let Some(entry) = standin.entries(SNAPSHOT_KEY).pop() else {
            return;
        };
        let snapshot: Document = serde_json::from_str(&entry.value.unwrap()).unwrap();
        assert!(
            snapshot.revision >= self.snapshot,
            "an older snapshot replaced a newer one"
        );
        assert_eq!(snapshot, self.document(snapshot.revision));
        self.snapshot = snapshot.revision;
    }

    /// Checks the results of all changes against the log.
    pub fn check(&self) {
        let ids: BTreeSet<Uuid> = self.records.iter().map(|record| record.change_id).collect();
        assert_eq!(ids.len(), self.records.len(), "a change was appended twice");
        for reply in self.replies.values() {
            self.check_reply(reply);
        }
        for record in &self.records {
            let reply = &self.replies[&record.change_id];
            assert!(
                matches!(
                    reply.result,
                    Ok(AppendOutcome::Appended { .. }) | Err(AppendError::Unsettled { .. })
                ),
                "revision {} is in the log, but its author received {:?}",
                record.revision,
                reply.result
            );
        }
    }

    fn check_reply(&self, reply: &Reply) {
        let appended_revision = self.appended_revision(reply.change.change_id);
        match &reply.result {
            Ok(AppendOutcome::Appended { revision }) => {
                assert_eq!(
                    appended_revision,
                    Some(*revision),
                    "the result names the wrong revision"
                );
                let before = Revision(revision.0 - 1);
                let conflicts = self.conflicts(&reply.change, before);
                assert!(
                    conflicts.is_empty(),
                    "appended despite conflicts with {conflicts:?}"
                );
            }
            Ok(AppendOutcome::Conflict(conflict)) => {
                let found: Vec<(Revision, EntryName)> = conflict
                    .entries
                    .iter()
                    .map(|found| (found.revision, found.entry.clone()))
                    .collect();

                assert_eq!(found, self.conflicts(&reply.change, conflict.current));
                assert!(!found.is_empty(), "a conflict without conflicting entries");
            }
            Err(AppendError::Unsettled { revision, .. }) => {
                assert!(
                    appended_revision
                        .is_none_or(|appended_revision| appended_revision == *revision)
                );
            }
            Err(AppendError::Invalid { current, .. }) => {
                let document = self.document(*current).with_edits(&reply.change.edits);
                assert!(!document.check().is_empty(), "a valid change was rejected");
            }
            Err(AppendError::NotMade { .. }) => {}
            Err(error) => panic!("unexpected error {error:?}"),
        }
    }

    fn appended_revision(&self, change_id: Uuid) -> Option<Revision> {
        self.records
            .iter()
            .find(|record| record.change_id == change_id)
            .map(|record| record.revision)
    }

    /// Returns the entries of the change that revisions after its base, up to `last`, also edit.
    fn conflicts(&self, change: &ChangeRequest, last: Revision) -> Vec<(Revision, EntryName)> {
        let own = entry_names(&change.edits);
        let mut conflicts = Vec::new();
        for record in &self.records {
            if record.revision > change.base && record.revision <= last {
                let shared = entry_names(&record.edits);
                let shared = shared.intersection(&own).cloned();
                conflicts.extend(shared.map(|entry| (record.revision, entry)));
            }
        }
        conflicts
    }
}

fn entry_names(edits: &[Edit]) -> BTreeSet<EntryName> {
    edits.iter().map(Edit::entry).collect()
}
