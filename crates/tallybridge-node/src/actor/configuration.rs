//! Messages about the configuration.

use tallybridge_config::{Revision, RevisionRecord};
use xtra::prelude::*;

use super::NodeActor;

/// Applies records, from the store or from a peer.
pub struct ApplyRecords(pub Vec<RevisionRecord>);

impl Handler<ApplyRecords> for NodeActor {
    type Return = Revision;

    async fn handle(
        &mut self,
        ApplyRecords(records): ApplyRecords,
        _context: &mut Context<Self>,
    ) -> Revision {
        self.tables.configuration.apply(&records);
        let revision = self.tables.configuration.revision();
        self.tables.members.set_revision(revision.0);
        revision
    }
}

/// Asks for the revision in force.
pub struct CurrentRevision;

impl Handler<CurrentRevision> for NodeActor {
    type Return = Revision;

    async fn handle(
        &mut self,
        _message: CurrentRevision,
        _context: &mut Context<Self>,
    ) -> Revision {
        self.tables.configuration.revision()
    }
}

/// Asks for the records after a revision, as JSON for a peer.
pub struct RecordsAfter(pub Revision);

impl Handler<RecordsAfter> for NodeActor {
    type Return = Vec<RevisionRecord>;

    async fn handle(
        &mut self,
        RecordsAfter(revision): RecordsAfter,
        _context: &mut Context<Self>,
    ) -> Vec<RevisionRecord> {
        self.tables.configuration.records_after(revision).to_vec()
    }
}
