//! What the owner of a table is told.

use tallybridge_core::NodeId;

use crate::member::MemberRecord;

/// Something that changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberEvent {
    /// A member is new, or is back from the dead.
    Joined(MemberRecord),
    /// A live member is suspected, is cleared or is leaving.
    Changed(MemberRecord),
    /// A member is gone as announced.
    Left(MemberRecord),
    /// A member is gone without a word.
    Died(MemberRecord),
    /// A member has a greater revision or partition epoch than this node.
    PeerAhead {
        /// Whom to ask.
        node: NodeId,
        /// Its revision.
        revision: u64,
        /// Its partition epoch.
        partition_epoch: u64,
    },
}
