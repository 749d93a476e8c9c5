//! What must hold of a configuration log, whatever its authors and the store went through.

pub mod edits;

use std::collections::{BTreeMap, BTreeSet};

use tallybridge_config::{
    Document, Edit, EntryName, Revision, RevisionRecord, revision::RECORD_PREFIX,
};
use tallybridge_lab::standin::store::StoreStandin;
use tallybridge_store::{AppendError, AppendOutcome, ChangeRequest, log::SNAPSHOT_KEY};
use uuid::Uuid;

/// What the author of a change was told last.
#[derive(Debug, Clone)]
pub struct Told {
    /// The change.
    pub change: ChangeRequest,
    /// The answer.
    pub answer: Result<AppendOutcome, AppendError>,
}

/// The log as it was, and what the authors were told.
#[derive(Debug, Default)]
pub struct Oracle {
    records: Vec<RevisionRecord>,
    told: BTreeMap<Uuid, Told>,
    snapshot: Revision,
}

impl Oracle {
    /// The log's revision.
    pub fn revision(&self) -> u64 {
        self.records.len() as u64
    }

    /// Notes what an author was told.
    pub fn tell(&mut self, told: Told) {
        self.told.insert(told.change.change_id, told);
    }

    /// The changes whose authors were told that their fate is unknown.
    pub fn unsettled(&self) -> Vec<ChangeRequest> {
        self.told
            .values()
            .filter(|told| matches!(told.answer, Err(AppendError::Unsettled { .. })))
            .map(|told| told.change.clone())
            .collect()
    }

    /// The document of a revision, folded from the records.
    pub fn document(&self, revision: Revision) -> Document {
        let mut document = Document::default();
        for record in &self.records[..usize::try_from(revision.0).unwrap()] {
            document.apply(record).unwrap();
        }
        document
    }

    /// Reads the log past the client and checks that it only grew.
    pub fn read(&mut self, standin: &StoreStandin) {
        let records: Vec<RevisionRecord> = standin
            .entries(RECORD_PREFIX)
            .iter()
            .map(|entry| serde_json::from_str(&entry.value.clone().unwrap()).unwrap())
            .collect();
        for (index, record) in records.iter().enumerate() {
            assert_eq!(record.revision.0, index as u64 + 1, "one record each");
        }
        assert!(
            records.starts_with(&self.records),
            "a record was changed or removed"
        );
        self.records = records;
        let document = self.document(Revision(self.revision()));
        assert_eq!(document.check(), [], "the log breaks rules");
        self.read_snapshot(standin);
    }

    fn read_snapshot(&mut self, standin: &StoreStandin) {
        let Some(entry) = standin.entries(SNAPSHOT_KEY).pop() else {
            return;
        };
        let snapshot: Document = serde_json::from_str(&entry.value.unwrap()).unwrap();
        assert!(snapshot.revision >= self.snapshot, "the snapshot went back");
        assert_eq!(snapshot, self.document(snapshot.revision));
        self.snapshot = snapshot.revision;
    }

    /// Checks what the authors were told against the log.
    pub fn check(&self) {
        let ids: BTreeSet<Uuid> = self.records.iter().map(|record| record.change_id).collect();
        assert_eq!(ids.len(), self.records.len(), "a change was made twice");
        for told in self.told.values() {
            self.check_told(told);
        }
        for record in &self.records {
            let author = &self.told[&record.change_id];
            assert!(
                matches!(
                    author.answer,
                    Ok(AppendOutcome::Appended { .. }) | Err(AppendError::Unsettled { .. })
                ),
                "revision {} was made, its author was told {:?}",
                record.revision,
                author.answer
            );
        }
    }

    fn check_told(&self, told: &Told) {
        let made = self.made(told.change.change_id);
        match &told.answer {
            Ok(AppendOutcome::Appended { revision }) => {
                assert_eq!(
                    made,
                    Some(*revision),
                    "told of a revision that is not its own"
                );
                let before = Revision(revision.0 - 1);
                let touched = self.touched(&told.change, before);
                assert!(touched.is_empty(), "made over the heads of {touched:?}");
            }
            Ok(AppendOutcome::Conflict(conflict)) => {
                let found: Vec<(Revision, EntryName)> = conflict
                    .entries
                    .iter()
                    .map(|found| (found.revision, found.entry.clone()))
                    .collect();

                assert_eq!(found, self.touched(&told.change, conflict.current));
                assert!(!found.is_empty(), "a conflict with nobody");
            }
            Err(AppendError::Unsettled { revision, .. }) => {
                assert!(made.is_none_or(|made| made == *revision));
            }
            Err(AppendError::Invalid { current, .. }) => {
                let document = self.document(*current).with_edits(&told.change.edits);
                assert!(!document.check().is_empty(), "a valid change was refused");
            }
            Err(AppendError::NotMade { .. }) => {}
            Err(error) => panic!("unexpected answer {error:?}"),
        }
    }

    fn made(&self, change_id: Uuid) -> Option<Revision> {
        self.records
            .iter()
            .find(|record| record.change_id == change_id)
            .map(|record| record.revision)
    }

    /// The change's entries that revisions after its base, up to `last`, touch too.
    fn touched(&self, change: &ChangeRequest, last: Revision) -> Vec<(Revision, EntryName)> {
        let own = names(&change.edits);
        let mut touched = Vec::new();
        for record in &self.records {
            if record.revision > change.base && record.revision <= last {
                let both = names(&record.edits);
                let both = both.intersection(&own).cloned();
                touched.extend(both.map(|entry| (record.revision, entry)));
            }
        }
        touched
    }
}

fn names(edits: &[Edit]) -> BTreeSet<EntryName> {
    edits.iter().map(Edit::entry).collect()
}
