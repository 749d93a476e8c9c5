//! Numbered revisions of the configuration.
//!
//! The configuration is a log: the record of revision N is created in the store once, under the
//! key [`record_key`], by a compare-and-swap that succeeds only while the key is absent. The
//! document of revision N is the fold of records 1 to N. Numbers only grow, so a reader that
//! applies only greater revisions never goes back.

use serde::{Deserialize, Serialize};
use tallybridge_core::{TemplateName, TenantName};
use uuid::Uuid;

use crate::{template::Template, tenant::Tenant};

/// Number of a revision; 0 is the empty configuration, before the first record.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// The revision after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl std::fmt::Display for Revision {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(formatter)
    }
}

/// One change to one entry of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Edit {
    /// Adds a template or replaces the one of the same name.
    PutTemplate(Template),
    /// Removes a template.
    RemoveTemplate(TemplateName),
    /// Adds a tenant or replaces the one of the same name.
    PutTenant(Tenant),
    /// Removes a tenant.
    RemoveTenant(TenantName),
}

/// What the store keeps for one revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionRecord {
    /// The revision that this record makes out of the one before.
    pub revision: Revision,
    /// Identity of the change, by which its author finds out whether a write whose confirmation
    /// was lost took effect.
    pub change_id: Uuid,
    /// Who made the change.
    pub author: String,
    /// When, in milliseconds since the Unix epoch by the author's clock.
    pub made_unix_ms: u64,
    /// Why, in the author's words.
    pub comment: String,
    /// The changes, applied together or not at all.
    pub edits: Vec<Edit>,
}

/// Prefix of the store keys of all records.
pub const RECORD_PREFIX: &str = "tallybridge/config/revision/";

/// Store key of a revision's record. The number has a fixed width, so keys sort by revision.
#[must_use]
pub fn record_key(revision: Revision) -> String {
    format!("{RECORD_PREFIX}{:020}", revision.0)
}
