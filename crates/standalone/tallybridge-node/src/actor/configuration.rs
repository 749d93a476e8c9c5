//! Messages about the configuration.

use std::sync::Arc;

use tallybridge_config::{Document, Revision, RevisionRecord};
use tallybridge_core::NodeId;
use xtra::prelude::*;

use super::{NodeActor, now};
use crate::tables::configuration::ConfigurationUpdate;

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
        self.spread_revision()
    }
}

/// Takes a whole configuration over, if it is newer than the one in force.
pub struct ApplySnapshot(pub Document);

impl Handler<ApplySnapshot> for NodeActor {
    type Return = Revision;

    async fn handle(
        &mut self,
        ApplySnapshot(document): ApplySnapshot,
        _context: &mut Context<Self>,
    ) -> Revision {
        self.tables.configuration.apply_snapshot(document);
        self.spread_revision()
    }
}

/// The store has been read to its end, which is this revision.
pub struct StoreConfirmed(pub Revision);

impl Handler<StoreConfirmed> for NodeActor {
    type Return = ();

    async fn handle(
        &mut self,
        StoreConfirmed(revision): StoreConfirmed,
        _context: &mut Context<Self>,
    ) {
        let configuration = &mut self.tables.configuration;
        configuration.confirm_by_store(revision, now());
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

/// Asks for the document in force.
pub struct CurrentDocument;

impl Handler<CurrentDocument> for NodeActor {
    type Return = Arc<Document>;

    async fn handle(
        &mut self,
        _message: CurrentDocument,
        _context: &mut Context<Self>,
    ) -> Arc<Document> {
        self.tables.configuration.document()
    }
}

/// Asks what a peer at this revision needs.
pub struct UpdateAfter(pub Revision);

impl Handler<UpdateAfter> for NodeActor {
    type Return = ConfigurationUpdate;

    async fn handle(
        &mut self,
        UpdateAfter(revision): UpdateAfter,
        _context: &mut Context<Self>,
    ) -> ConfigurationUpdate {
        self.tables.configuration.update_after(revision)
    }
}

/// Asks which members are ahead of this node.
pub struct MembersAhead;

impl Handler<MembersAhead> for NodeActor {
    type Return = Vec<NodeId>;

    async fn handle(
        &mut self,
        _message: MembersAhead,
        _context: &mut Context<Self>,
    ) -> Vec<NodeId> {
        self.tables.configuration.members_ahead()
    }
}

/// A member that is ahead could not be asked, or its answer did not help.
pub struct ForgetAhead(pub NodeId);

impl Handler<ForgetAhead> for NodeActor {
    type Return = ();

    async fn handle(&mut self, ForgetAhead(node): ForgetAhead, _context: &mut Context<Self>) {
        self.tables.configuration.forget_ahead(node);
    }
}

impl NodeActor {
    /// Tells the fleet which revision this node has.
    fn spread_revision(&mut self) -> Revision {
        let revision = self.tables.configuration.revision();
        self.tables.members.set_revision(revision.0);
        revision
    }
}
