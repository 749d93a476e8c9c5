//! The templates and tenants that a scenario's nodes run with.

use serde::{Deserialize, Serialize};
use tallybridge_config::{Document, Edit, Revision, RevisionRecord, Template, Tenant};
use uuid::Uuid;

/// Author named in the records that the lab writes.
pub const AUTHOR: &str = "tallybridge-lab";

/// A configuration file: templates and tenants.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigurationFile {
    /// Templates.
    #[serde(default)]
    pub template: Vec<Template>,
    /// Tenants.
    #[serde(default)]
    pub tenant: Vec<Tenant>,
}

impl ConfigurationFile {
    /// The record that puts the whole file in force as the first revision.
    #[must_use]
    pub fn first_record(&self) -> RevisionRecord {
        let templates = self.template.iter().cloned().map(Edit::PutTemplate);
        let tenants = self.tenant.iter().cloned().map(Edit::PutTenant);
        RevisionRecord {
            revision: Revision::default().next(),
            change_id: Uuid::now_v7(),
            author: AUTHOR.to_owned(),
            made_unix_ms: crate::clock::unix_us() / 1_000,
            comment: "scenario".to_owned(),
            edits: templates.chain(tenants).collect(),
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
