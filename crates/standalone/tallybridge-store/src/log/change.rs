//! A change that an operator wants, and what became of it.

use std::collections::BTreeSet;

use tallybridge_config::{Edit, EntryName, Revision, RevisionRecord};
use uuid::Uuid;

/// A change to the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeRequest {
    /// The revision that the author looked at. Entries that others changed since then are not
    /// changed over their heads.
    pub base: Revision,
    /// The changes, made together or not at all.
    pub edits: Vec<Edit>,
    /// Who makes the change.
    pub author: String,
    /// Why, in the author's words.
    pub comment: String,
    /// Identity of the change, drawn by the author. A change asked for again with the same
    /// identity and base is not made twice.
    pub change_id: Uuid,
}

/// What became of a change whose fate is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The change is in the log under this revision.
    Appended {
        /// The revision.
        revision: Revision,
    },
    /// The change is not in the log and will not be.
    Conflict(Conflict),
}

/// Others changed the same entries since the author's base.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Conflict {
    /// The author's base.
    pub base: Revision,
    /// The log's revision when the conflict was found.
    pub current: Revision,
    /// The entries and who changed them, in the order of the log.
    pub entries: Vec<ConflictingEntry>,
}

/// One entry that others changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConflictingEntry {
    /// The entry.
    pub entry: EntryName,
    /// The revision that changed it.
    pub revision: Revision,
    /// Who made that revision.
    pub author: String,
}

impl ChangeRequest {
    /// The entries of these records that this change touches too.
    pub(super) fn conflicts_with(&self, records: &[RevisionRecord]) -> Vec<ConflictingEntry> {
        let touched = names(&self.edits);
        let mut entries = Vec::new();
        for record in records {
            let both = names(&record.edits).into_iter();
            let both = both.filter(|entry| touched.contains(entry));
            entries.extend(both.map(|entry| ConflictingEntry {
                entry,
                revision: record.revision,
                author: record.author.clone(),
            }));
        }
        entries
    }

    /// The record of this change as the given revision.
    pub(super) fn record(&self, revision: Revision, made_unix_ms: u64) -> RevisionRecord {
        RevisionRecord {
            revision,
            change_id: self.change_id,
            author: self.author.clone(),
            made_unix_ms,
            comment: self.comment.clone(),
            edits: self.edits.clone(),
        }
    }
}

fn names(edits: &[Edit]) -> BTreeSet<EntryName> {
    edits.iter().map(Edit::entry).collect()
}
