//! The templates and tenants that a scenario's nodes run with.

use tallybridge_config::{Document, Revision, RevisionRecord};
use uuid::Uuid;

use super::Scenario;

/// Author named in the record that the lab writes.
const AUTHOR: &str = "tallybridge-lab";

impl Scenario {
    /// The record that puts the whole configuration in force as the first revision.
    #[must_use]
    pub fn first_record(&self) -> RevisionRecord {
        RevisionRecord {
            revision: Revision::default().next(),
            change_id: Uuid::now_v7(),
            author: AUTHOR.to_owned(),
            made_unix_ms: crate::clock::unix_us() / 1_000,
            comment: self.name.clone(),
            edits: Document::default().edits_from(&self.configuration),
        }
    }

    /// The document that the first record makes.
    ///
    /// # Panics
    ///
    /// Never: the first record follows the empty document.
    #[must_use]
    pub fn document(&self) -> Document {
        let mut document = Document::default();
        document
            .apply(&self.first_record())
            .expect("the first record follows the empty document");
        document
    }
}
