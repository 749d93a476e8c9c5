//! The configuration in force at this node.

use std::sync::Arc;

use tallybridge_config::{CallPolicy, Document, PolicyIndex, Revision, RevisionRecord};
use tallybridge_core::{ServiceName, TenantName};

/// The newest revision that this node has, and the records that made it.
#[derive(Debug, Default)]
pub struct Configuration {
    document: Document,
    policies: PolicyIndex,
    records: Vec<RevisionRecord>,
}

impl Configuration {
    /// Applies records in order. A record that is not the next one is left out: an older one is
    /// in force already, and a gap is filled by the next fetch. So a node never goes back.
    ///
    /// Returns how many were applied.
    pub fn apply(&mut self, records: &[RevisionRecord]) -> usize {
        let before = self.records.len();
        for record in records {
            if self.document.apply(record).is_ok() {
                self.records.push(record.clone());
            }
        }
        let applied = self.records.len() - before;
        if applied > 0 {
            self.policies = PolicyIndex::of(&self.document);
        }
        applied
    }

    /// The revision in force.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.document.revision
    }

    /// Records after a revision, in order; empty when this node has none.
    #[must_use]
    pub fn records_after(&self, revision: Revision) -> &[RevisionRecord] {
        let first = self
            .records
            .partition_point(|record| record.revision <= revision);
        &self.records[first..]
    }

    /// How a call is treated, or `None` when nothing covers it.
    #[must_use]
    pub fn policy(
        &self,
        tenant: &TenantName,
        service: &ServiceName,
        method: &str,
        path: &str,
    ) -> Option<Arc<CallPolicy>> {
        self.policies
            .policy(&self.document, tenant, service, method, path)
            .map(Arc::new)
    }

    /// Whether the node has a configuration to serve from.
    #[must_use]
    pub fn is_loaded(&self) -> bool {
        self.document.revision > Revision::default()
    }
}
